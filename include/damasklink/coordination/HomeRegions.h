// The regions that a call may not leave.
//
//   const HomeRegions homes(route.homes, workspace.homes, settings.regions);
//   if (homes.Allows(target.zone)) ...
//
// They bind what the call is sent to and where the cached parts of its prompt are kept. Immutable.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "damasklink/state/ServingSettings.h"

namespace damasklink {

class HomeRegions
{
public:
  // Binds nothing.
  HomeRegions() = default;

  // A list without regions binds nothing; of two lists, the regions in both are left.
  HomeRegions(const std::vector<RegionId>& aOfRoute,
              const std::vector<RegionId>& aOfWorkspace,
              const ZoneRegions& aRegions);

  bool Binds() const { return this->binds; }

  // Returns whether no availability zone is left.
  bool AllowsNothing() const { return this->binds && this->zones.empty(); }

  bool Allows(const ZoneId& aZone) const { return !this->binds || this->zones.contains(aZone); }

  // Returns the regions as one text, the same for the same regions; empty where nothing binds.
  const std::string& Text() const { return this->text; }

private:
  bool binds = false;
  std::set<ZoneId> zones;
  std::string text;
};

} // namespace damasklink
