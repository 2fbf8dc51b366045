#include <iostream>

#include "ConfigClient.h"

namespace damasklink {
namespace {

ExitCode
PrintList(ConfigClient& aClient)
{
  auto list = aClient.List();
  if (!list) {
    return aClient.Report(list.error());
  }
  if (aClient.Json()) {
    std::cout << FormatSubtreeList(list.value()) << '\n';
    return ExitCode::Done;
  }
  std::cout << "revision " << list.value().revision << '\n';
  for (const SubtreeVersion& subtree : list.value().subtrees) {
    std::cout << FormatSubtreeName(subtree.name) << " version " << subtree.version << '\n';
  }
  return ExitCode::Done;
}

constexpr std::string_view kUsage = R"(Usage:
  damasklink get [SUBTREE] (--host ADDR)... [options]
  damasklink get [SUBTREE] --settings FILE [options]

SUBTREE is defaults, deployments or workspaces/NAME. The first line has the version of the
subtree, from which apply detects that another change came first.

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
  const std::string subtree = TextOf(aArguments, "SUBTREE");
  if (subtree.empty()) {
    return PrintList(client);
  }
  auto name = ParseSubtreeName(subtree);
  if (!name) {
    std::cerr << "damasklink: " << Describe(name.error()) << '\n';
    return ExitCode::InvalidUsage;
  }
  auto view = client.Get(name.value());
  if (!view) {
    return client.Report(view.error());
  }
  if (view.value().content.empty()) {
    std::cerr << "damasklink: " << subtree << " does not exist; damasklink get lists all\n";
    return ExitCode::Refused;
  }
  if (client.Json()) {
    std::cout << FormatSubtreeView(view.value()) << '\n';
  } else {
    std::cout << "made_from: " << view.value().version << '\n' << view.value().content;
  }
  return ExitCode::Done;
}

} // namespace

Command
GetCommand()
{
  return Command{ "get", "Prints a subtree as apply takes it, or lists all.", kUsage, Run };
}

} // namespace damasklink
