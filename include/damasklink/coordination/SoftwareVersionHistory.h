// The software versions that may have begun a stream which can still be resumed.
//
//   SoftwareVersionHistory history(clock);
//   history.SetRetention(longestStream);
//   history.Observe(service, software);       // With each heartbeat of a target.
//   history.OnStep();                         // Regularly, and before what follows is used.
//   history.OnIsolated();                     // Heartbeats may be missed.
//   if (history.IsComplete()) ... history.Versions(service);
//
// If a service has had one version only for as long as streams live, a stream of unknown origin was
// begun by that version. Not thread-safe.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "damasklink/state/Clock.h"
#include "damasklink/state/Ids.h"

namespace damasklink {

class SoftwareVersionHistory
{
public:
  // Used until SetRetention() is called.
  static constexpr Duration kDefaultRetention = std::chrono::seconds(60);

  // A host whose calls of OnStep() are further apart stood still, and may have missed heartbeats.
  static constexpr Duration kMaxPause = std::chrono::seconds(1);

  // How long such a host may still handle what was sent to it before and while it stood still.
  static constexpr Duration kCatchUpTime = std::chrono::seconds(3);

  explicit SoftwareVersionHistory(const Clock& aClock)
    : clock(aClock)
    , completeSince(aClock.MonotonicNow())
  {
  }

  // Sets how long after the last heartbeat of a target a stream that it began can be resumed.
  void SetRetention(Duration aRetention) { this->retention = aRetention; }

  // A target of the service with this version is alive.
  void Observe(const ServiceName& aService, const SoftwareVersion& aSoftware);

  // This host runs.
  void OnStep();

  // Returns whether the host stood still so recently that what it knows may be old, even if it
  // seems to hear of everything.
  bool HasJustStoodStill() const;

  // This host may not hear of all targets.
  void OnIsolated() { this->completeSince = this->clock.MonotonicNow(); }

  // Returns the versions that targets of the service have had during the retention time.
  std::set<SoftwareVersion> Versions(const ServiceName& aService) const;

  // Returns the services of which targets have been observed.
  std::vector<ServiceName> Services() const;

  // Returns whether this host has heard of all targets during the retention time.
  bool IsComplete() const;

  // Removes versions that were last observed before the retention time.
  void RemoveExpired();

private:
  bool IsRecent(MonotonicTime aObservedAt) const;

  const Clock& clock;
  MonotonicTime completeSince;
  // The last call of OnStep().
  std::optional<MonotonicTime> stepAt;
  // When the host was found to have stood still.
  std::optional<MonotonicTime> pausedAt;
  Duration retention = kDefaultRetention;
  std::map<ServiceName, std::map<SoftwareVersion, MonotonicTime>> observedAt;
};

} // namespace damasklink
