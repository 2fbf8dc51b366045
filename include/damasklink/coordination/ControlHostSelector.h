// Which control hosts an entry host keeps connections to.
//
//   ControlHostSelector selector(ownHost, ownZone);
//   selector.AddHost(host, zone);
//   for (const HostId& host : selector.Select(isGood)) { ... }   // Connect to these.
//
// Two of its own zone, where bytes are cheap and which it can reach when the zone is cut off, and
// one of another zone, which tells of changes when the own ones cannot; entry hosts spread over
// those. As long as one of these is not healthy (down, or without a leader), a further one is
// selected beside it. Not thread-safe.
#pragma once

#include <cstddef>
#include <functional>
#include <vector>

#include "damasklink/coordination/ServingPicture.h"

namespace damasklink {

class ControlHostSelector
{
public:
  // One may be down and another behind.
  static constexpr std::size_t kHealthyConnections = 3;
  static constexpr std::size_t kMaxInOwnZone = 2;

  ControlHostSelector(HostId aSelf, ZoneId aZone)
    : self(std::move(aSelf))
    , zone(std::move(aZone))
  {
  }

  // Tells of a control host; an empty zone is not known and changes nothing that is.
  void AddHost(const HostId& aHost, const ZoneId& aZone);

  // Tells of several. Returns whether there were any.
  bool AddHosts(const ControlHostZones& aHosts);

  const ControlHostZones& KnownHosts() const { return this->known; }

  // Returns the hosts to keep connections to, the preferred ones first, until kHealthyConnections
  // of them are healthy or none is left.
  std::vector<HostId> Select(const std::function<bool(const HostId&)>& aIsHealthy) const;

private:
  std::vector<HostId> HostsByPreference() const;

  HostId self;
  ZoneId zone;
  ControlHostZones known;
};

} // namespace damasklink
