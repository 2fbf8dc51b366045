#include "damasklink/coordination/ServingConfig.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "damasklink/state/Text.h"

namespace damasklink {
namespace {

Result<void>
CheckShares(const ServingRoute& aRoute, const std::set<ServiceName>& aServices)
{
  std::uint64_t total = 0;
  for (const ServiceShare& share : aRoute.shares) {
    if (!aServices.contains(share.service)) {
      return Fail(
        ErrorKind::InvalidArgument,
        Concat("route '", aRoute.name, "' names the unknown service '", share.service.Value(), "'"),
        "add the service or correct the route");
    }
    total += share.weight;
  }
  if (total == 0) {
    return Fail(ErrorKind::InvalidArgument,
                Concat("the weights of route '", aRoute.name, "' sum to zero"),
                "give at least one service a weight above zero");
  }
  return Success();
}

Result<void>
CheckRoute(const ServingRoute& aRoute, const std::set<ServiceName>& aServices)
{
  const bool hasSlashes =
    !aRoute.prefix.empty() && aRoute.prefix.front() == '/' && aRoute.prefix.back() == '/';
  if (!hasSlashes) {
    return Fail(
      ErrorKind::InvalidArgument,
      Concat("the prefix of route '", aRoute.name, "' does not begin and end with a slash"),
      "begin and end the prefix with a slash");
  }
  if (aRoute.timeout <= Duration::zero()) {
    return Fail(ErrorKind::InvalidArgument,
                Concat("the timeout of route '", aRoute.name, "' is zero"),
                "set a timeout above zero");
  }
  return CheckShares(aRoute, aServices);
}

Result<void>
CheckKeys(const std::vector<WorkspaceEntry>& aWorkspaces)
{
  std::map<std::string, WorkspaceId> holders;
  for (const WorkspaceEntry& workspace : aWorkspaces) {
    for (const std::string& key : workspace.keys) {
      const auto [holder, isNew] = holders.emplace(key, workspace.name);
      if (!isNew && holder->second != workspace.name) {
        return Fail(ErrorKind::InvalidArgument,
                    Concat("workspaces '",
                           holder->second.Value(),
                           "' and '",
                           workspace.name.Value(),
                           "' have the same key"),
                    "use different keys for each workspace");
      }
    }
  }
  return Success();
}

Result<void>
CheckHomes(const std::vector<RegionId>& aHomes,
           const std::string& aOwner,
           const std::set<RegionId>& aRegions)
{
  for (const RegionId& region : aHomes) {
    if (!aRegions.contains(region)) {
      return Fail(ErrorKind::InvalidArgument,
                  Concat(aOwner, " names the unknown region '", region.Value(), "'"),
                  "use only regions of this deployment");
    }
  }
  return Success();
}

} // namespace

std::string_view
CallKindName(CallKind aKind)
{
  switch (aKind) {
    case CallKind::Idempotent:
      return "idempotent";
    case CallKind::NonIdempotent:
      return "non_idempotent";
    case CallKind::Streaming:
      return "streaming";
  }
  return "unknown";
}

const ServingService*
ServingConfig::FindService(const ServiceName& aName) const
{
  const auto found =
    std::find_if(this->services.begin(), this->services.end(), [&](const ServingService& aService) {
      return aService.name == aName;
    });
  return found == this->services.end() ? nullptr : &*found;
}

Result<void>
CheckServingConfig(const ServingConfig& aConfig)
{
  std::set<ServiceName> services;
  for (const ServingService& service : aConfig.services) {
    services.insert(service.name);
  }
  std::set<std::pair<std::string, std::string>> prefixes;
  for (const ServingRoute& route : aConfig.routes) {
    if (auto checked = CheckRoute(route, services); !checked) {
      return checked;
    }
    if (!prefixes.emplace(route.host, route.prefix).second) {
      return Fail(ErrorKind::InvalidArgument,
                  Concat("two routes have the same host and prefix: ", route.host, route.prefix),
                  "remove one of them or change its prefix");
    }
  }
  return CheckKeys(aConfig.workspaces);
}

Result<void>
CheckRegions(const ServingConfig& aConfig, const std::set<RegionId>& aRegions)
{
  for (const ServingRoute& route : aConfig.routes) {
    if (auto checked =
          CheckHomes(route.allowedRegions, Concat("route '", route.name, "'"), aRegions);
        !checked) {
      return checked;
    }
  }
  for (const WorkspaceEntry& workspace : aConfig.workspaces) {
    const std::string owner = Concat("workspace '", workspace.name.Value(), "'");
    if (auto checked = CheckHomes(workspace.allowedRegions, owner, aRegions); !checked) {
      return checked;
    }
  }
  return Success();
}

} // namespace damasklink
