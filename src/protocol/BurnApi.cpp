#include "damasklink/protocol/BurnApi.h"

#include "JsonFields.h"
#include "damasklink/state/Units.h"

namespace damasklink {
namespace {

using internal::FieldReader;
using internal::Json;

Json
ToJson(const WorkspaceBurn& aBurn)
{
  Json windows = Json::array();
  for (std::size_t index = 0; index < kBurnWindows.size(); ++index) {
    const ServiceLevelCount& count = aBurn.windows.at(index);
    windows.push_back({ { "window", FormatDuration(kBurnWindows.at(index)) },
                        { "good", count.good },
                        { "total", count.total },
                        { "burn", BurnRateOf(count, aBurn.objective) } });
  }
  return { { "workspace", aBurn.workspace.Value() },
           { "first_token", FormatDuration(aBurn.objective.firstToken) },
           { "share", aBurn.objective.share },
           { "level", BurnLevelName(BurnLevelOf(aBurn)) },
           { "windows", std::move(windows) } };
}

Json
ToJson(const std::vector<WorkspaceBurn>& aRows)
{
  Json rows = Json::array();
  for (const WorkspaceBurn& row : aRows) {
    rows.push_back(ToJson(row));
  }
  return rows;
}

Result<ServiceLevelCount>
ReadCount(const Json& aWindow)
{
  if (!aWindow.is_object()) {
    return Fail(ErrorKind::Corrupt,
                "field 'windows' has an entry that is not an object",
                "run the same or adjacent versions on all hosts");
  }
  FieldReader fields(aWindow);
  const ServiceLevelCount count{ fields.Count("good"), fields.Count("total") };
  if (count.good > count.total) {
    fields.AddProblem("good", "exceeds the total");
  }
  if (!fields.Problem().empty()) {
    return Fail(
      ErrorKind::Corrupt, fields.Problem(), "run the same or adjacent versions on all hosts");
  }
  return count;
}

Result<WorkspaceBurn>
ReadWorkspace(const Json& aRow)
{
  if (!aRow.is_object()) {
    return Fail(ErrorKind::Corrupt,
                "field 'workspaces' has an entry that is not an object",
                "run the same or adjacent versions on all hosts");
  }
  FieldReader fields(aRow);
  WorkspaceBurn burn;
  burn.workspace = WorkspaceId(fields.Text("workspace"));
  burn.objective.share = fields.Number("share");
  if (burn.objective.share >= 1.0) {
    fields.AddProblem("share", "is not below 1");
  }
  const auto firstToken = ParseDuration(fields.Text("first_token"));
  if (!firstToken) {
    fields.AddProblem("first_token", "is not a duration");
  }
  const Json& windows = fields.Items("windows");
  if (windows.size() != burn.windows.size()) {
    fields.AddProblem("windows", "has the wrong number of entries");
  }
  if (!fields.Problem().empty()) {
    return Fail(
      ErrorKind::Corrupt, fields.Problem(), "run the same or adjacent versions on all hosts");
  }
  burn.objective.firstToken = firstToken.value();
  for (std::size_t index = 0; index < burn.windows.size(); ++index) {
    auto count = ReadCount(windows.at(index));
    if (!count) {
      return Fail(count.error());
    }
    burn.windows.at(index) = count.value();
  }
  return burn;
}

} // namespace

std::string
FormatHostBurn(const HostBurn& aBurn)
{
  return internal::Dump(
    Json{ { "host", aBurn.host.Value() }, { "workspaces", ToJson(aBurn.workspaces) } });
}

Result<HostBurn>
ParseHostBurn(std::string_view aBody)
{
  const Json body = Json::parse(aBody, nullptr, false);
  if (!body.is_object()) {
    return Fail(ErrorKind::Corrupt,
                "the burn report is not a JSON object",
                "run the same or adjacent versions on all hosts");
  }
  FieldReader fields(body);
  HostBurn burn;
  burn.host = HostId(fields.Text("host"));
  for (const Json& row : fields.Items("workspaces")) {
    auto read = ReadWorkspace(row);
    if (!read) {
      return Fail(read.error());
    }
    burn.workspaces.push_back(std::move(read.value()));
  }
  if (!fields.Problem().empty()) {
    return Fail(
      ErrorKind::Corrupt, fields.Problem(), "run the same or adjacent versions on all hosts");
  }
  return burn;
}

std::string
FormatBurnReport(const std::vector<WorkspaceBurn>& aRows,
                 const std::vector<std::string>& aReached,
                 const std::vector<std::string>& aUnreached)
{
  return internal::Dump(
    Json{ { "workspaces", ToJson(aRows) }, { "reached", aReached }, { "unreached", aUnreached } });
}

} // namespace damasklink
