// Which requests an entry host does not send to targets because they crash them.
//
//   CrashWatch watch(clock);
//   if (watch.IsActive() && watch.IsRefused(fingerprint)) { ... }
//   watch.OnCrash(report);                   // A target ended while it ran a request.
//   watch.OnSound(run);                      // A request ran well.
//   watch.Take(controlHost, told);           // The verdicts are those of control hosts.
//
// While nothing crashes, IsActive() is false and no request's fingerprint needs to be made. Not
// thread-safe.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "damasklink/coordination/ServingMessages.h"
#include "damasklink/state/Clock.h"

namespace damasklink {

class CrashWatch
{
public:
  // Reports are told again to each control host that adds up what hosts tell, should the one before
  // have ended with them.
  static constexpr Duration kRetold = std::chrono::seconds(10);
  static constexpr std::size_t kMostReports = 1024;

  explicit CrashWatch(const Clock& aClock)
    : clock(aClock)
  {
  }

  // Returns whether any request has crashed a target of late, as far as this host knows.
  bool IsActive() const { return !this->reports.empty() || !this->watched.empty(); }

  bool IsRefused(RequestFingerprint aRequest) const { return this->refused.contains(aRequest); }

  void OnCrash(CrashReport aReport);
  void OnSound(const SuccessfulRun& aRun);

  // Takes what a control host knows now.
  void Take(const HostId& aFrom, const CrashingRequests& aTold);

  // The connection to a control host is lost. Its word holds until another one tells.
  void OnLost(const HostId& aHost);

  // The next TakeReports() returns all that are young enough: another control host is told.
  void TellAllAnew();

  // Returns what is to be told to the control host.
  std::vector<CrashReport> TakeReports();
  std::vector<SuccessfulRun> TakeSound();

private:
  struct Word
  {
    CrashingRequests told;
    bool connected = true;
  };

  struct OwnReport
  {
    CrashReport report;
    MonotonicTime at;
    bool told = false;
  };

  void Merge();

  const Clock& clock;
  std::map<HostId, Word> words;
  // Of all words together.
  std::set<RequestFingerprint> refused;
  std::set<RequestFingerprint> watched;
  // In the order in which they were made.
  std::vector<OwnReport> reports;
  std::set<SuccessfulRun> sound;
};

} // namespace damasklink
