#include <iostream>

#include "ConfigClient.h"

namespace damasklink {
namespace {

constexpr std::string_view kUsage = R"(Usage:
  damasklink diff PATH (--host ADDR)... [options]
  damasklink diff PATH --settings FILE [options]

PATH is a file or a folder of subtrees.

Options:
  --host ADDR        Operators' address of a host, as IP:PORT; the next is tried when it fails.
  --settings FILE    Settings of any host; all its peers are tried in turn.
  --key-file FILE    File with the operator key; else the environment's DAMASKLINK_OPERATOR_KEY.
  --output FORMAT    text or json [default: text].
)";

ExitCode
Run(const Arguments& aArguments)
{
  ConfigClient client(aArguments);
  std::vector<PlannedChange> planned;
  const ExitCode plan = PlanChanges(client, TextOf(aArguments, "PATH"), planned);
  if (plan != ExitCode::Done) {
    return plan;
  }
  for (const PlannedChange& change : planned) {
    if (client.Json()) {
      std::cout << FormatSubtreeView({ change.subtree.name, change.inForce, change.before }) << '\n'
                << FormatSubtreeView({ change.subtree.name, change.base, change.content }) << '\n';
      continue;
    }
    std::cout << FormatSubtreeName(change.subtree.name) << ", version in force " << change.inForce
              << (change.Unchanged() ? ": unchanged\n" : ":\n");
    if (!change.Unchanged()) {
      std::cout << DiffLines(change.before, change.content);
    }
  }
  return ExitCode::Done;
}

} // namespace

Command
DiffCommand()
{
  return Command{ "diff", "Shows what apply would change, before and after.", kUsage, Run };
}

} // namespace damasklink
