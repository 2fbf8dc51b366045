// Index of one serving configuration that finds the route and the workspace of a call.
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

// A look-up hashes once for each slash of the path, independent of the number of routes. Immutable.
class RouteTable
{
public:
  explicit RouteTable(std::shared_ptr<const ServingConfig> aConfig);

  // Returns the route of the host with the longest prefix that matches the path, or null. Ignores
  // the case and the port of the host.
  const ServingRoute* FindRoute(std::string_view aHost, std::string_view aPath) const;

  // Returns the workspace that has the key, or null.
  const WorkspaceEntry* FindWorkspace(std::string_view aKey) const;

  const ServingConfig& Config() const { return *this->config; }

  // Returns a digest of the set of isolated workspaces, which is empty if there are none. Parts of
  // prompts that are shared under one digest were made by workspaces that are not in its set, so a
  // workspace that becomes isolated leaves nothing behind that the others still use.
  const std::string& IsolationDigest() const { return this->isolationDigest; }

private:
  std::shared_ptr<const ServingConfig> config;
  // By the concatenation of host and prefix. Unambiguous: a prefix begins with a slash, and no host
  // contains one.
  absl::flat_hash_map<std::string, const ServingRoute*> routes;
  absl::flat_hash_map<std::string, const WorkspaceEntry*> workspaces;
  std::string isolationDigest;
};

// Returns the service of the route for a call with this number. The same number always selects the
// same service, and numbers are distributed over the services by weight. Requires a route with
// services.
const ServiceName&
ChooseService(const ServingRoute& aRoute, std::uint64_t aNumber);

// Returns the priority of a call; 0 is the most urgent. aWorkspace may be null.
int
PriorityOf(const ServingRoute& aRoute, const WorkspaceEntry* aWorkspace);

} // namespace damasklink
