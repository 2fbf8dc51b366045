#include "damasklink/coordination/RegionRestriction.h"

#include <algorithm>

namespace damasklink {
namespace {

bool
IsAmong(const std::vector<RegionId>& aRegions, const RegionId& aRegion)
{
  return aRegions.empty() || std::find(aRegions.begin(), aRegions.end(), aRegion) != aRegions.end();
}

} // namespace

RegionRestriction::RegionRestriction(const std::vector<RegionId>& aOfRoute,
                                     const std::vector<RegionId>& aOfWorkspace,
                                     const ZoneRegions& aRegions)
  : binds(!aOfRoute.empty() || !aOfWorkspace.empty())
{
  if (!this->binds) {
    return;
  }
  std::set<RegionId> left;
  for (const auto& [zone, region] : aRegions) {
    if (IsAmong(aOfRoute, region) && IsAmong(aOfWorkspace, region)) {
      this->zones.insert(zone);
      left.insert(region);
    }
  }
  for (const RegionId& region : left) {
    this->text += this->text.empty() ? "" : ",";
    this->text += region.Value();
  }
}

} // namespace damasklink
