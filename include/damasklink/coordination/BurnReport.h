// Error-budget burn rates of workspaces against their service-level objectives.
#pragma once

#include <string_view>
#include <vector>

#include "damasklink/coordination/ServiceLevelWindows.h"
#include "damasklink/state/ConfigTree.h"

namespace damasklink {

// The objective of one workspace and its counts in each of kBurnWindows.
struct WorkspaceBurn
{
  WorkspaceId workspace;
  ServiceLevel objective;
  WindowCounts windows{};

  bool operator==(const WorkspaceBurn&) const = default;
};

// The counts of one host.
struct HostBurn
{
  HostId host;
  std::vector<WorkspaceBurn> workspaces;

  bool operator==(const HostBurn&) const = default;
};

// What an operator should do; docs/OPERATING.md has an example for each.
enum class BurnLevel
{
  Calm,  // Burn rate of at most 1 over 6 hours.
  Watch, // More than 1 over 6 hours: look within a day.
  Act,   // At least kActBurn over 1 hour and over 6 hours: look within the hour.
  Page,  // At least kPageBurn over 5 minutes and over 1 hour: look now.
};

constexpr double kActBurn = 6.0;
constexpr double kPageBurn = 14.4;

// Returns the burn rate: the share of requests that failed divided by the share that may fail. A
// rate of 1 uses up the error budget exactly; it is 0 without requests.
double
BurnRateOf(const ServiceLevelCount& aCount, const ServiceLevel& aObjective);

BurnLevel
BurnLevelOf(const WorkspaceBurn& aBurn);

// Returns "calm", "watch", "act" or "page".
std::string_view
BurnLevelName(BurnLevel aLevel);

// Returns a row for each workspace that has an objective or counts. Workspaces without an objective
// in the configuration tree get the default one.
std::vector<WorkspaceBurn>
JoinBurn(const std::map<WorkspaceId, ServiceLevel>& aObjectives,
         const std::map<WorkspaceId, WindowCounts>& aCounts);

// Returns one row for each workspace, ordered by workspace, with the counts of all hosts added up.
// Where hosts have different objectives, as during a configuration change, the stricter one
// applies.
std::vector<WorkspaceBurn>
MergeBurn(const std::vector<HostBurn>& aHosts);

} // namespace damasklink
