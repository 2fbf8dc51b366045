// Chooses the entry host to which this host forwards a call.
//
//   ForwardingPeers peers(clock, seed, ownZone);
//   peers.SetHosts(hosts);                          // From a control host.
//   if (auto host = peers.Choose(service, tried)) {
//     peers.OnSent(*host);
//     ...
//     peers.OnEnded(*host);
//   }
//   peers.OnDeclined(host, service);
//
// Prefers the host with the fewest forwarded calls of this host in progress, and the own zone while
// its hosts have few. A host that declined or was not reached is left out for a while, so that
// calls are not held up by asking it again. Not thread-safe.
#pragma once

#include <map>
#include <optional>
#include <random>
#include <set>
#include <utility>

#include "damasklink/coordination/ServingMessages.h"
#include "damasklink/state/Clock.h"

namespace damasklink {

class ForwardingPeers
{
public:
  // How long a host that declined a call gets no calls for the service.
  static constexpr Duration kDeclinePause = std::chrono::milliseconds(500);
  // How long a host to which no connection could be made gets no calls.
  static constexpr Duration kUnreachablePause = std::chrono::seconds(1);
  // Calls in progress that a host of the own zone has more than one elsewhere before the latter is
  // chosen.
  static constexpr std::size_t kOwnZonePreference = 4;

  ForwardingPeers(const Clock& aClock, std::uint64_t aSeed, ZoneId aZone)
    : clock(aClock)
    , random(aSeed)
    , zone(std::move(aZone))
  {
  }

  // Replaces the hosts to choose from.
  void SetHosts(EntryHostZones aHosts) { this->hosts = std::move(aHosts); }

  const EntryHostZones& Hosts() const { return this->hosts; }

  // Returns the host to forward a call for the service to, or nothing when there is none. Hosts in
  // aTried are left out.
  std::optional<HostId> Choose(const ServiceName& aService, const std::set<HostId>& aTried);

  // A call was handed to the host.
  void OnSent(const HostId& aHost) { ++this->inProgress[aHost]; }
  // A call that was handed to the host has ended.
  void OnEnded(const HostId& aHost);

  void OnDeclined(const HostId& aHost, const ServiceName& aService);
  void OnNotConnected(const HostId& aHost);

  // Returns whether calls handed to the host are in progress.
  bool IsInUse(const HostId& aHost) const { return this->inProgress.contains(aHost); }

private:
  bool IsPaused(const HostId& aHost, const ServiceName& aService) const;
  std::size_t CostOf(const HostId& aHost, const ZoneId& aZone) const;
  void RemoveExpired();

  const Clock& clock;
  std::minstd_rand random;
  ZoneId zone;
  EntryHostZones hosts;
  std::map<HostId, std::size_t> inProgress;
  std::map<std::pair<HostId, ServiceName>, MonotonicTime> declinedUntil;
  std::map<HostId, MonotonicTime> unreachableUntil;
};

} // namespace damasklink
