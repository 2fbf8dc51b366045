#include "damasklink/coordination/RegionRestriction.h"

#include <algorithm>

namespace damasklink {
namespace {

bool
IsAllowedBy(const std::vector<RegionId>& aRegions, const RegionId& aRegion)
{
  return aRegions.empty() || std::find(aRegions.begin(), aRegions.end(), aRegion) != aRegions.end();
}

} // namespace

RegionRestriction::RegionRestriction(const std::vector<RegionId>& aRouteRegions,
                                     const std::vector<RegionId>& aWorkspaceRegions,
                                     const ZoneRegions& aRegions)
  : restricted(!aRouteRegions.empty() || !aWorkspaceRegions.empty())
{
  if (!this->restricted) {
    return;
  }
  std::set<RegionId> allowed;
  for (const auto& [zone, region] : aRegions) {
    if (IsAllowedBy(aRouteRegions, region) && IsAllowedBy(aWorkspaceRegions, region)) {
      this->zones.insert(zone);
      allowed.insert(region);
    }
  }
  for (const RegionId& region : allowed) {
    this->text += this->text.empty() ? "" : ",";
    this->text += region.Value();
  }
}

} // namespace damasklink
