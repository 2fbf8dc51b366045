// How fast workspaces use up what their service-level objectives allow to fail.
#pragma once

#include <string_view>
#include <vector>

#include "damasklink/coordination/ServiceLevelWindows.h"
#include "damasklink/state/ConfigTree.h"

namespace damasklink {

// One workspace: its objective and what was counted in each of kBurnWindows.
struct WorkspaceBurn
{
  WorkspaceId workspace;
  ServiceLevel objective;
  WindowCounts windows{};

  bool operator==(const WorkspaceBurn&) const = default;
};

// What one host counted.
struct HostBurn
{
  HostId host;
  std::vector<WorkspaceBurn> workspaces;

  bool operator==(const HostBurn&) const = default;
};

// What an operator should do; docs/OPERATING.md has an example for each.
enum class BurnLevel
{
  Calm,  // Within the objective over 6 hours.
  Watch, // Beyond it over 6 hours: look within a day.
  Act,   // At least kActBurn over 1 and 6 hours: look within the hour.
  Page,  // At least kPageBurn over 5 minutes and 1 hour: look now.
};

constexpr double kActBurn = 6.0;
constexpr double kPageBurn = 14.4;

// Returns the share that failed relative to the share that may fail: 1 uses up the objective
// exactly, 0 when there were no requests.
double
BurnRateOf(const ServiceLevelCount& aCount, const ServiceLevel& aObjective);

BurnLevel
BurnLevelOf(const WorkspaceBurn& aBurn);

// Returns "calm", "watch", "act" or "page".
std::string_view
BurnLevelName(BurnLevel aLevel);

// Returns a row for each workspace of the tree and for each one that was counted. Workspaces
// without an objective in the tree are held to the default one.
std::vector<WorkspaceBurn>
JoinBurn(const std::map<WorkspaceId, ServiceLevel>& aObjectives,
         const std::map<WorkspaceId, WindowCounts>& aCounts);

// Returns one row for each workspace with the counts of all hosts added up, ordered by workspace.
// Where hosts still differ in the objective, the stricter share is taken.
std::vector<WorkspaceBurn>
MergeBurn(const std::vector<HostBurn>& aHosts);

} // namespace damasklink
