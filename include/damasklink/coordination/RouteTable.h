// Finds the route and the workspace of a call in one serving configuration.
//
//   RouteTable table(config);
//   const ServingRoute* route = table.FindRoute("Shop.example:80", "/notes/short/7");
//   const WorkspaceEntry* workspace = table.FindWorkspace(key);
#pragma once

#include <memory>
#include <string>
#include <string_view>

#include <absl/container/flat_hash_map.h>

#include "damasklink/coordination/ServingConfig.h"

namespace damasklink {

// Look-ups cost one hash a slash of the path, whatever the number of routes. Immutable.
class RouteTable
{
public:
  explicit RouteTable(std::shared_ptr<const ServingConfig> aConfig);

  // Returns the route of the host whose prefix is the longest that begins the path; null for none.
  // The host may carry a port and any case.
  const ServingRoute* FindRoute(std::string_view aHost, std::string_view aPath) const;

  // Returns the workspace that holds the key; null for none.
  const WorkspaceEntry* FindWorkspace(std::string_view aKey) const;

  const ServingConfig& Config() const { return *this->config; }

private:
  std::shared_ptr<const ServingConfig> config;
  // By host and prefix, one after the other: a prefix begins with a slash, which no host holds.
  absl::flat_hash_map<std::string, const ServingRoute*> routes;
  absl::flat_hash_map<std::string, const WorkspaceEntry*> workspaces;
};

// Returns the service of the route that a call with this number goes to: the same number chooses
// the same service, and numbers spread over the services by their weights.
const ServiceName&
ChooseService(const ServingRoute& aRoute, std::uint64_t aNumber);

} // namespace damasklink
