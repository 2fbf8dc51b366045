// The program that ships: one binary with a subcommand for each task.
#include <iostream>
#include <map>
#include <string>

#include <docopt/docopt.h>

#include "Commands.h"

namespace {

constexpr const char* kVersion = "damasklink 0.1.0";

constexpr const char* kUsage =
  R"(damasklink serves prompts that come back after long gaps.

Usage:
  damasklink serve --settings FILE [--log-level LEVEL]
  damasklink check FILE...
  damasklink (-h | --help)
  damasklink --version

Options:
  --settings FILE    Settings of this host.
  --log-level LEVEL  debug, info, warning or error.
  -h --help          Show this text.
  --version          Show the version.

Exit codes: 0 done, 1 refused, 2 wrong use, 3 unreachable.
)";

using Arguments = std::map<std::string, docopt::value>;

std::string
TextOf(const Arguments& aArguments, const std::string& aName)
{
  const docopt::value& value = aArguments.at(aName);
  return value ? value.asString() : "";
}

damasklink::ExitCode
RunCommand(const Arguments& aArguments)
{
  using namespace damasklink;
  if (aArguments.at("serve").asBool()) {
    return RunServe(TextOf(aArguments, "--settings"), TextOf(aArguments, "--log-level"));
  }
  return RunCheck(aArguments.at("FILE").asStringList());
}

} // namespace

int
main(int aCount, char** aArguments)
{
  using damasklink::ExitCode;
  try {
    const std::vector<std::string> words(aArguments + 1, aArguments + aCount);
    return static_cast<int>(RunCommand(docopt::docopt_parse(kUsage, words, true, true)));
  } catch (const docopt::DocoptExitHelp&) {
    std::cout << kUsage;
    return static_cast<int>(ExitCode::Done);
  } catch (const docopt::DocoptExitVersion&) {
    std::cout << kVersion << '\n';
    return static_cast<int>(ExitCode::Done);
  } catch (const std::exception& error) {
    std::cerr << "damasklink: " << error.what() << "; see damasklink --help\n";
    return static_cast<int>(ExitCode::WrongUse);
  }
}
