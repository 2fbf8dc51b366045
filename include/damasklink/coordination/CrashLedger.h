// Which requests crash the targets that run them, as a control host knows it.
//
//   CrashLedger ledger(clock);
//   ledger.Take(reports);                 // From entry hosts and other control hosts.
//   ledger.TakeSound(runs);               // Requests that ran well somewhere.
//   ledger.SetRefused(machine.Refused()); // What the replicated log holds.
//   ledger.Told();                        // For entry hosts.
//
// All requests that run on a target when it ends are suspects, and one of them at most is to blame.
// What tells them apart: the guilty one ends each target that runs it and never runs well. So a
// request counts the starts of targets that ended under it, a sound run clears it of those of the
// same service, and it is refused once it has ended three. Reports are a set of (request, start of
// a target): they may come late, twice and from several hosts. Not thread-safe.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "damasklink/coordination/ServingMessages.h"
#include "damasklink/coordination/ServingStateMachine.h"
#include "damasklink/state/Clock.h"

namespace damasklink {

class CrashLedger
{
public:
  static constexpr std::size_t kCrashesToRefuse = 3;
  // From here on entry hosts report sound runs of a request.
  static constexpr std::size_t kCrashesToSuspect = 2;
  // From the last crash until a request is refused: when several targets end at once, requests that
  // many callers share are struck by all of them, and the news of their sound runs is on its way.
  static constexpr Duration kSettling = std::chrono::milliseconds(500);
  // An entry takes some 200 bytes.
  static constexpr std::size_t kMostRequests = 4096;
  static constexpr std::size_t kMostSuspects = 256;
  // A refused request may be sent again after this long, should what it crashed be mended.
  static constexpr Duration kRefusedFor = std::chrono::hours(24);

  explicit CrashLedger(const Clock& aClock)
    : clock(aClock)
  {
  }

  void Take(const std::vector<CrashReport>& aReports);
  void TakeSound(const std::vector<SuccessfulRun>& aRuns);
  void SetRefused(const RefusedRequests& aRefused);

  // Returns what entry hosts are to know. Requests that this host alone believes to crash targets
  // count as refused, so that a group without a leader still protects its targets.
  CrashingRequests Told() const;

  // Returns the requests that the replicated log should refuse, and those that it should not any
  // more: they ran well after all, or their time is over.
  std::vector<RefuseRequest> ToRefuse() const;
  std::vector<ReleaseRequest> ToRelease() const;

  // Returns the reports that still count, for a control host that was just connected.
  std::vector<CrashReport> All() const;

private:
  using TargetStart = std::pair<TargetId, Incarnation>;

  struct Entry
  {
    WorkspaceId workspace;
    // As many as count, with their services.
    std::map<TargetStart, ServiceName> ended;
    // The last one that counts.
    MonotonicTime lastCrash;
  };

  bool IsConvicted(const Entry& aEntry) const;
  void MakeRoom();

  const Clock& clock;
  std::map<RequestFingerprint, Entry> entries;
  RefusedRequests refused;
  // Refused requests that were reported to have run well.
  std::set<RequestFingerprint> cleared;
};

} // namespace damasklink
