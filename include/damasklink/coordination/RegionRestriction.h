// Restricts a call to the regions that its route and its workspace allow.
//
//   const RegionRestriction homes(route.allowedRegions, workspace.allowedRegions,
//   settings.regions); if (homes.Allows(target.zone)) ...
//
// Applies to the targets of the call and to the stores that cache parts of its prompt. Immutable.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "damasklink/state/ServingSettings.h"

namespace damasklink {

class RegionRestriction
{
public:
  // No restriction: allows every zone.
  RegionRestriction() = default;

  // An empty list does not restrict; if both lists have regions, only those in both are allowed.
  // aRegions maps each zone to its region.
  RegionRestriction(const std::vector<RegionId>& aRouteRegions,
                    const std::vector<RegionId>& aWorkspaceRegions,
                    const ZoneRegions& aRegions);

  bool IsRestricted() const { return this->restricted; }

  // Returns true if no availability zone is allowed.
  bool AllowsNoZone() const { return this->restricted && this->zones.empty(); }

  bool Allows(const ZoneId& aZone) const
  {
    return !this->restricted || this->zones.contains(aZone);
  }

  // Returns the allowed regions as a canonical comma-separated text; empty without a homes.
  const std::string& Text() const { return this->text; }

private:
  bool restricted = false;
  std::set<ZoneId> zones;
  std::string text;
};

} // namespace damasklink
