// The regions that a call may not leave.
//
//   const RegionRestriction homes(route.homes, workspace.homes, settings.regions);
//   if (homes.Allows(target.zone)) ...
//
// They bind what the call is sent to and where the cached parts of its prompt are kept. Immutable.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "damasklink/state/ServingSettings.h"

namespace damasklink {

class RegionRestriction
{
public:
  // IsRestricted nothing.
  RegionRestriction() = default;

  // A list without regions restricted nothing; of two lists, the regions in both are left.
  RegionRestriction(const std::vector<RegionId>& aOfRoute,
                    const std::vector<RegionId>& aOfWorkspace,
                    const ZoneRegions& aRegions);

  bool IsRestricted() const { return this->restricted; }

  // Returns whether no availability zone is left.
  bool AllowsNoZone() const { return this->restricted && this->zones.empty(); }

  bool Allows(const ZoneId& aZone) const
  {
    return !this->restricted || this->zones.contains(aZone);
  }

  // Returns the regions as one text, the same for the same regions; empty where nothing restricted.
  const std::string& Text() const { return this->text; }

private:
  bool restricted = false;
  std::set<ZoneId> zones;
  std::string text;
};

} // namespace damasklink
