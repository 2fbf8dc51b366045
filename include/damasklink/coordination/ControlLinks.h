// Which control hosts an entry host keeps connections to.
//
//   ControlLinks links(ownHost, ownZone);
//   links.Know(host, zone);
//   for (const HostId& host : links.Wanted(isGood)) { ... }   // Connect to these.
//
// Two of its own zone, where bytes are cheap and which it can reach when the zone is cut off, and
// one of another zone, which tells of changes when the own ones cannot; entry hosts spread over
// those. As long as one of these is not good (down, or without a leader), a further one is wanted
// beside it. Not thread-safe.
#pragma once

#include <cstddef>
#include <functional>
#include <vector>

#include "damasklink/coordination/ServingMessages.h"

namespace damasklink {

class ControlLinks
{
public:
  // One may be down and another behind.
  static constexpr std::size_t kGoodLinks = 3;
  static constexpr std::size_t kMostInOwnZone = 2;

  ControlLinks(HostId aSelf, ZoneId aZone)
    : self(std::move(aSelf))
    , zone(std::move(aZone))
  {
  }

  // Tells of a control host; an empty zone is not known and changes nothing that is.
  void Know(const HostId& aHost, const ZoneId& aZone);

  // Tells of several. Returns whether there were any.
  bool KnowAll(const ControlHostZones& aHosts);

  const ControlHostZones& Known() const { return this->known; }

  // Returns the hosts to keep connections to, the preferred ones first, until kGoodLinks of them
  // are good or none is left.
  std::vector<HostId> Wanted(const std::function<bool(const HostId&)>& aIsGood) const;

private:
  std::vector<HostId> ByPreference() const;

  HostId self;
  ZoneId zone;
  ControlHostZones known;
};

} // namespace damasklink
