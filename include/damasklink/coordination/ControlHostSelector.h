// Selects the control hosts that an entry host keeps connections to.
//
//   ControlHostSelector links(ownHost, ownZone);
//   links.AddHost(host, zone);
//   for (const HostId& host : links.Select(isHealthy, now)) { ... }   // Connect to these.
//
// Selects two hosts of the entry host's own zone, where traffic is cheap and which stay reachable
// if the zone is isolated, and one host of another zone, which reports changes when those of the
// own zone cannot. Entry hosts spread over the hosts of other zones, and over those of their own if
// it has more than two. For each selected host that is not healthy (down or without a leader),
// another one is selected in addition. Not thread-safe.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <vector>

#include "damasklink/coordination/ServingMessages.h"
#include "damasklink/state/Clock.h"

namespace damasklink {

class ControlHostSelector
{
public:
  // Three, since one host may be down and another may lag behind.
  static constexpr std::size_t kHealthyLinks = 3;
  static constexpr std::size_t kMaxInOwnZone = 2;
  // Most selected hosts that are not healthy yet and may still become so. When all hosts start
  // together none is healthy until a leader is elected; without this limit, each entry host would
  // connect to each control host and be sent a snapshot by all of them.
  static constexpr std::size_t kMaxPending = 6;
  // A selected host that is not healthy after this long does not count as pending any more, so that
  // others are tried.
  static constexpr Duration kPendingTime = std::chrono::seconds(1);

  ControlHostSelector(HostId aSelf, ZoneId aZone)
    : self(std::move(aSelf))
    , zone(std::move(aZone))
  {
  }

  // Adds a control host. An empty zone means unknown and does not replace a known one.
  void AddHost(const HostId& aHost, const ZoneId& aZone);

  // Adds several hosts. Returns whether aHosts has any.
  bool AddHosts(const ControlHostZones& aHosts);

  const ControlHostZones& Known() const { return this->known; }

  // Returns the known hosts in the order in which one is preferred as this host's hub. Where the
  // own zone has few control hosts, all its entry hosts prefer the same one, so that each learns at
  // once what the others report. Where it has more, the entry hosts spread over them, since the
  // cost of a hub grows with the number of its entry hosts.
  std::vector<HostId> ByHubPreference() const;

  // Returns the hosts to keep connections to, in order of preference, until kHealthyLinks of
  // them are healthy, kMaxPending are pending, or none is left. Must be called again at intervals.
  std::vector<HostId> Select(const std::function<bool(const HostId&)>& aIsHealthy,
                             MonotonicTime aNow);

private:
  std::vector<HostId> InOwnZone() const;
  std::vector<HostId> ByPreference() const;
  void SortByOwnHash(std::vector<HostId>& aHosts) const;

  HostId self;
  ZoneId zone;
  ControlHostZones known;
  // Since when the selected hosts that are not healthy have been selected.
  std::map<HostId, MonotonicTime> pendingSince;
};

} // namespace damasklink
