#include "damasklink/coordination/BurnReport.h"

#include <algorithm>

namespace damasklink {
namespace {

// Indices of kBurnWindows.
constexpr std::size_t kFiveMinutes = 0;
constexpr std::size_t kOneHour = 1;
constexpr std::size_t kSixHours = 2;

void
AddCounts(WindowCounts& aTo, const WindowCounts& aCounts)
{
  for (std::size_t index = 0; index < aTo.size(); ++index) {
    aTo.at(index).good += aCounts.at(index).good;
    aTo.at(index).total += aCounts.at(index).total;
  }
}

std::vector<WorkspaceBurn>
ValuesOf(const std::map<WorkspaceId, WorkspaceBurn>& aRows)
{
  std::vector<WorkspaceBurn> values;
  values.reserve(aRows.size());
  for (const auto& [workspace, row] : aRows) {
    values.push_back(row);
  }
  return values;
}

} // namespace

double
BurnRateOf(const ServiceLevelCount& aCount, const ServiceLevel& aObjective)
{
  if (aCount.total == 0) {
    return 0;
  }
  const double failed = static_cast<double>(aCount.total - aCount.good);
  return failed / static_cast<double>(aCount.total) / (1.0 - aObjective.share);
}

BurnLevel
BurnLevelOf(const WorkspaceBurn& aBurn)
{
  const double fiveMinutes = BurnRateOf(aBurn.windows.at(kFiveMinutes), aBurn.objective);
  const double oneHour = BurnRateOf(aBurn.windows.at(kOneHour), aBurn.objective);
  const double sixHours = BurnRateOf(aBurn.windows.at(kSixHours), aBurn.objective);
  if (fiveMinutes >= kPageBurn && oneHour >= kPageBurn) {
    return BurnLevel::Page;
  }
  if (oneHour >= kActBurn && sixHours >= kActBurn) {
    return BurnLevel::Act;
  }
  return sixHours > 1.0 ? BurnLevel::Watch : BurnLevel::Calm;
}

std::string_view
BurnLevelName(BurnLevel aLevel)
{
  switch (aLevel) {
    case BurnLevel::Calm:
      return "calm";
    case BurnLevel::Watch:
      return "watch";
    case BurnLevel::Act:
      return "act";
    case BurnLevel::Page:
      return "page";
  }
  return "page";
}

std::vector<WorkspaceBurn>
JoinBurn(const std::map<WorkspaceId, ServiceLevel>& aObjectives,
         const std::map<WorkspaceId, WindowCounts>& aCounts)
{
  std::map<WorkspaceId, WorkspaceBurn> rows;
  for (const auto& [workspace, objective] : aObjectives) {
    rows[workspace] = WorkspaceBurn{ workspace, objective, {} };
  }
  for (const auto& [workspace, counts] : aCounts) {
    WorkspaceBurn& row = rows[workspace];
    row.workspace = workspace;
    row.windows = counts;
  }
  return ValuesOf(rows);
}

std::vector<WorkspaceBurn>
MergeBurn(const std::vector<HostBurn>& aHosts)
{
  std::map<WorkspaceId, WorkspaceBurn> rows;
  for (const HostBurn& host : aHosts) {
    for (const WorkspaceBurn& burn : host.workspaces) {
      auto [row, isNew] = rows.try_emplace(burn.workspace, burn);
      if (isNew) {
        continue;
      }
      AddCounts(row->second.windows, burn.windows);
      if (burn.objective.share > row->second.objective.share) {
        row->second.objective = burn.objective;
      }
    }
  }
  return ValuesOf(rows);
}

} // namespace damasklink
