#include <iostream>

#include <absl/strings/str_format.h>

#include "Commands.h"
#include "OperatorCalls.h"
#include "damasklink/protocol/BurnApi.h"
#include "damasklink/state/Units.h"

namespace damasklink {
namespace {

constexpr std::string_view kUsage = R"(Usage:
  damasklink report burn --settings FILE [options]
  damasklink report burn (--host ADDR)... [options]

Prints how fast each workspace uses up its service-level objective, summed over all hosts that
can be reached, and lists those that cannot. Ends with 3 when a host could not be reached, with 1
when a host refused the key or gave no report.

Options:
  --settings FILE    Settings of any host; all its peers are asked.
  --host ADDR        Operators' address of a host, as IP:PORT.
  --key-file FILE    File with the operator key; else the environment's DAMASKLINK_OPERATOR_KEY.
  --output FORMAT    text or json [default: text].
)";

// The reports of the hosts, and the hosts and errors without one.
struct Collected
{
  std::vector<HostBurn> burns;
  std::vector<std::string> reached;
  std::vector<std::string> unreached;
  std::vector<Error> refusals;
};

Collected
Collect(const std::vector<Endpoint>& aHosts, const std::string& aKey)
{
  Collected collected;
  for (const Endpoint& host : aHosts) {
    auto body = CallOperator({ host, "GET", "/v1/burn", aKey, "" });
    if (!body && body.error().kind == ErrorKind::Unavailable) {
      collected.unreached.push_back(FormatEndpoint(host));
      continue;
    }
    auto burn = body ? ParseHostBurn(body.value()) : Fail(body.error());
    if (!burn) {
      collected.refusals.push_back(burn.error());
      continue;
    }
    collected.reached.push_back(FormatEndpoint(host));
    collected.burns.push_back(std::move(burn.value()));
  }
  return collected;
}

std::string
WindowText(const WorkspaceBurn& aRow, std::size_t aWindow)
{
  const ServiceLevelCount& count = aRow.windows.at(aWindow);
  return absl::StrFormat(
    "%.2f (%d/%d)", BurnRateOf(count, aRow.objective), count.total - count.good, count.total);
}

void
PrintText(const std::vector<WorkspaceBurn>& aRows, const Collected& aCollected)
{
  constexpr const char* kRowFormat = "%-24s %-6s %-10s %-7s %-20s %-20s %s\n";
  std::cout << absl::StrFormat(
    kRowFormat, "workspace", "level", "first", "share", "5min", "1h", "6h");
  for (const WorkspaceBurn& row : aRows) {
    std::cout << absl::StrFormat(kRowFormat,
                                 row.workspace.Value(),
                                 std::string(BurnLevelName(BurnLevelOf(row))),
                                 FormatDuration(row.objective.firstToken),
                                 absl::StrFormat("%.4g", row.objective.share),
                                 WindowText(row, 0),
                                 WindowText(row, 1),
                                 WindowText(row, 2));
  }
  std::cout << "burn (failed/all), from " << aCollected.reached.size() << " hosts\n";
  for (const std::string& host : aCollected.unreached) {
    std::cout << "unreached: " << host << '\n';
  }
}

ExitCode
Run(const Arguments& aArguments)
{
  const OutputFormat format = OutputOf(aArguments);
  const Collected collected = Collect(HostsOf(aArguments), OperatorKey(aArguments));
  const std::vector<WorkspaceBurn> rows = MergeBurn(collected.burns);
  if (format == OutputFormat::Json) {
    std::cout << FormatBurnReport(rows, collected.reached, collected.unreached) << '\n';
  } else {
    PrintText(rows, collected);
  }
  for (const Error& refusal : collected.refusals) {
    std::cerr << refusal << '\n';
  }
  if (!collected.refusals.empty()) {
    return ExitCode::Refused;
  }
  return collected.unreached.empty() ? ExitCode::Done : ExitCode::Unreachable;
}

} // namespace

Command
ReportCommand()
{
  return Command{
    "report", "Prints the service-level burn of each workspace from all hosts.", kUsage, Run
  };
}

} // namespace damasklink
