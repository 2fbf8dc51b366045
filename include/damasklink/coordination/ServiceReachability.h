// Detects services of which this host reaches no target, while other hosts may reach them.
//
//   ServiceReachability paths(clock);
//   paths.OnBytes(service);                        // A target of the service sent something.
//   if (paths.BeginProbe(service)) {               // After a failure or a long silence.
//     ...                                          // Connect to several targets.
//     paths.EndProbe(service, anyReached);
//   }
//   if (paths.IsUnreachable(service)) ...          // Forward the call to another host.
//
// One target that fails has a fault of its own; when none can be reached, the fault is likely in
// this host's network. Calls then need another way, and the failures seen here say nothing about
// the targets. A service becomes unreachable, and reachable again, only through a probe: open
// connections may go on working while new ones fail. Not thread-safe.
#pragma once

#include <map>
#include <vector>

#include "damasklink/state/Clock.h"
#include "damasklink/state/Ids.h"

namespace damasklink {

// What the end of a probe changed.
enum class ReachabilityChange
{
  None,
  Lost,
  Regained,
};

class ServiceReachability
{
public:
  // Interval between two probes of an unreachable service. Short, as calls take a longer way until
  // it is found to be reachable again.
  static constexpr Duration kProbeInterval = std::chrono::milliseconds(250);
  // Interval after a probe that reached the service: targets with much work are silent for long,
  // and hundreds of hosts would give them more by their probes.
  static constexpr Duration kReachedInterval = std::chrono::seconds(1);
  // Time without a byte from any target, while a request waits for one, that calls for a probe. An
  // accepted connection alone then does not show that a target is reachable.
  static constexpr Duration kSuspiciousSilence = std::chrono::milliseconds(250);
  // Open connections that brought bytes within this time are expected to go on working.
  static constexpr Duration kRecentBytes = std::chrono::milliseconds(500);

  explicit ServiceReachability(const Clock& aClock)
    : clock(aClock)
  {
  }

  // A request was sent to a target of the service, and its answer has ended or broken off.
  void OnSent(const ServiceName& aService);
  void OnEnded(const ServiceName& aService);

  // Bytes were received from a target of the service.
  void OnBytes(const ServiceName& aService);

  // Returns the services that are silent for kSuspiciousSilence and not known to be unreachable.
  std::vector<ServiceName> SuspiciousServices() const;

  // Returns whether the service should be probed now. If so, the probe counts as running until
  // EndProbe().
  bool BeginProbe(const ServiceName& aService);

  // Ends the probe. aReached tells whether any target was reached.
  ReachabilityChange EndProbe(const ServiceName& aService, bool aReached);

  bool IsProbing(const ServiceName& aService) const;

  // Returns whether the last probe reached no target of the service.
  bool IsUnreachable(const ServiceName& aService) const;

  // Returns whether any service is unreachable.
  bool AnyUnreachable() const;

  // Returns whether bytes arrived from the service within the given time.
  bool HadBytesWithin(const ServiceName& aService, Duration aTime) const;

  // Returns whether bytes arrived from the service, or a probe reached it, after the given time.
  bool WasReachedAfter(const ServiceName& aService, MonotonicTime aTime) const;

  // Returns the unreachable services that are due for a probe.
  std::vector<ServiceName> DueForProbe() const;

private:
  struct Entry
  {
    // Requests in progress, and since when there have been any.
    std::size_t inProgress = 0;
    MonotonicTime inProgressSince;
    MonotonicTime lastBytesAt;
    MonotonicTime lastReachedAt;
    MonotonicTime lastProbeAt;
    bool probed = false;
    bool probing = false;
    bool unreachable = false;
  };

  bool IsDue(const Entry& aEntry) const;
  bool IsSilent(const Entry& aEntry, Duration aTime) const;

  const Clock& clock;
  std::map<ServiceName, Entry> entries;
};

} // namespace damasklink
