#include <iostream>

#include "ConfigClient.h"

namespace damasklink {
namespace {

constexpr std::string_view kUsage = R"(Usage:
  damasklink history [SUBTREE] (--host ADDR)... [options]
  damasklink history [SUBTREE] --settings FILE [options]

SUBTREE is defaults, deployments or workspaces/NAME.

Options:
  --host ADDR        Operators' address of a host, as IP:PORT; the next is tried when it fails.
  --settings FILE    Settings of any host; all its peers are tried in turn.
  --key-file FILE    File with the operator key; else the environment's DAMASKLINK_OPERATOR_KEY.
  --output FORMAT    text or json [default: text].
  --most N           Entries at most [default: 100].
)";

ExitCode
Run(const Arguments& aArguments)
{
  ConfigClient client(aArguments);
  auto entries = client.History(TextOf(aArguments, "SUBTREE"), TextOf(aArguments, "--most"));
  if (!entries) {
    return client.Report(entries.error());
  }
  if (client.Json()) {
    std::cout << FormatHistory(entries.value()) << '\n';
    return ExitCode::Done;
  }
  for (const HistoryEntry& entry : entries.value()) {
    std::cout << entry.revision << ' ' << FormatWallTime(entry.when) << ' '
              << FormatSubtreeName(entry.subtree) << (entry.deleted ? " deleted" : " changed")
              << " by " << entry.author << " as " << entry.change << '\n';
  }
  return ExitCode::Done;
}

} // namespace

Command
HistoryCommand()
{
  return Command{
    "history", "Prints accepted changes, newest first: who, when, which change id.", kUsage, Run
  };
}

} // namespace damasklink
