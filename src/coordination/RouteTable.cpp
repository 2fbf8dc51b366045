#include "damasklink/coordination/RouteTable.h"

#include <set>

#include <absl/strings/ascii.h>

#include "damasklink/state/Bytes.h"
#include "damasklink/state/Digests.h"
#include "damasklink/state/Text.h"

namespace damasklink {
namespace {

// Hex digits of the digest that are kept. It is sent with each call that contains a prompt.
constexpr std::size_t kDigestDigits = 16;

std::string
DigestOfIsolated(const std::vector<WorkspaceEntry>& aWorkspaces)
{
  std::set<std::string> isolated;
  for (const WorkspaceEntry& workspace : aWorkspaces) {
    if (workspace.isolated) {
      isolated.insert(workspace.name.Value());
    }
  }
  if (isolated.empty()) {
    return "";
  }
  ByteWriter writer;
  for (const std::string& name : isolated) {
    writer.Text(name);
  }
  return DigestOf(writer.Take()).Value().substr(0, kDigestDigits);
}

} // namespace

RouteTable::RouteTable(std::shared_ptr<const ServingConfig> aConfig)
  : config(std::move(aConfig))
  , isolationDigest(DigestOfIsolated(this->config->workspaces))
{
  for (const ServingRoute& route : this->config->routes) {
    const std::string host = absl::AsciiStrToLower(ForAbsl(route.host));
    this->routes[Concat(host, route.prefix)] = &route;
  }
  for (const WorkspaceEntry& workspace : this->config->workspaces) {
    for (const std::string& key : workspace.keys) {
      this->workspaces[key] = &workspace;
    }
  }
}

const ServingRoute*
RouteTable::FindRoute(std::string_view aHost, std::string_view aPath) const
{
  if (aPath.empty() || aPath.front() != '/') {
    return nullptr;
  }
  const std::string_view name = aHost.substr(0, aHost.find(':'));
  std::string candidate = absl::AsciiStrToLower(ForAbsl(name));
  candidate += aPath;
  while (candidate.size() > name.size()) {
    const std::size_t slash = candidate.rfind('/');
    if (slash == std::string::npos || slash < name.size()) {
      return nullptr;
    }
    candidate.resize(slash + 1);
    const auto found = this->routes.find(candidate);
    if (found != this->routes.end()) {
      return found->second;
    }
    candidate.resize(slash);
  }
  return nullptr;
}

const WorkspaceEntry*
RouteTable::FindWorkspace(std::string_view aKey) const
{
  const auto found = this->workspaces.find(ForAbsl(aKey));
  return found == this->workspaces.end() ? nullptr : found->second;
}

const ServiceName&
ChooseService(const ServingRoute& aRoute, std::uint64_t aNumber)
{
  std::uint64_t total = 0;
  for (const ServiceShare& share : aRoute.shares) {
    total += share.weight;
  }
  std::uint64_t remaining = total == 0 ? 0 : aNumber % total;
  for (const ServiceShare& share : aRoute.shares) {
    if (remaining < share.weight) {
      return share.service;
    }
    remaining -= share.weight;
  }
  return aRoute.shares.front().service;
}

int
PriorityOf(const ServingRoute& aRoute, const WorkspaceEntry* aWorkspace)
{
  return aWorkspace == nullptr ? aRoute.priority : aWorkspace->priority.value_or(aRoute.priority);
}

} // namespace damasklink
