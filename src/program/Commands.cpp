#include "Commands.h"

#include <algorithm>
#include <iostream>

#include "damasklink/state/Text.h"
#include "damasklink/transport/Log.h"

namespace damasklink {
namespace {

constexpr const char* kVersion = "damasklink 0.1.0";

constexpr std::string_view kPurpose = "damasklink serves prompts that come back after long gaps.\n";

constexpr std::string_view kCommonOptions =
  R"(  --log-level LEVEL  debug, info, warning or error.
  -h --help          Show this text.
  --version          Show the version.

Exit codes: 0 done, 1 refused, 2 invalid usage, 3 unreachable.
)";

constexpr std::string_view kOverviewUsage = R"(
Usage:
  damasklink COMMAND [ARGUMENT...]
  damasklink COMMAND --help
  damasklink (-h | --help)
  damasklink --version

)";

std::string
Overview()
{
  std::string text = Concat(kPurpose, kOverviewUsage, "Commands:\n");
  for (const Command& command : AllCommands()) {
    text += Concat("  ", command.name, ": ", command.purpose, "\n");
  }
  return Concat(text, "\nOptions:\n", kCommonOptions);
}

std::string
HelpOf(const Command& aCommand)
{
  return Concat(aCommand.purpose, "\n\n", aCommand.usage, kCommonOptions);
}

const Command*
FindCommand(std::string_view aName)
{
  const std::vector<Command>& all = AllCommands();
  const auto found = std::find_if(
    all.begin(), all.end(), [&](const Command& aKnown) { return aKnown.name == aName; });
  return found == all.end() ? nullptr : &*found;
}

ExitCode
RunCommand(const Command& aCommand, const std::vector<std::string>& aWords)
{
  const Arguments arguments = docopt::docopt_parse(HelpOf(aCommand), aWords, true, true);
  const std::string level = TextOf(arguments, "--log-level");
  LogLevel parsed = LogLevel::Info;
  if (!level.empty()) {
    if (!ParseLogLevel(level, parsed)) {
      throw UsageError(
        Concat("--log-level '", level, "' is unknown; write debug, info, warning or error"));
    }
    SetLogLevel(parsed);
  }
  return aCommand.run(arguments);
}

ExitCode
RunWithoutCommand(const std::vector<std::string>& aWords)
{
  const std::string word = aWords.empty() ? "" : aWords.front();
  if (word == "--help" || word == "-h") {
    std::cout << Overview();
    return ExitCode::Done;
  }
  if (word == "--version") {
    std::cout << kVersion << '\n';
    return ExitCode::Done;
  }
  if (word.empty()) {
    throw UsageError("no command was named");
  }
  throw UsageError(Concat("'", word, "' is not a command"));
}

} // namespace

std::string
TextOf(const Arguments& aArguments, const std::string& aName)
{
  const docopt::value& value = aArguments.at(aName);
  return value ? value.asString() : "";
}

OutputFormat
OutputOf(const Arguments& aArguments)
{
  const std::string format = TextOf(aArguments, "--output");
  if (format.empty() || format == "text") {
    return OutputFormat::Text;
  }
  if (format == "json") {
    return OutputFormat::Json;
  }
  throw UsageError(Concat("--output '", format, "' is unknown; write text or json"));
}

const std::vector<Command>&
AllCommands()
{
  static const std::vector<Command> kCommands{
    ServeCommand(),    CheckCommand(),   ApplyCommand(),   DiffCommand(),
    GetCommand(),      HistoryCommand(), StatusCommand(),  ReportCommand(),
    LogLevelCommand(), EntryCommand(),   ControlCommand(),
  };
  return kCommands;
}

ExitCode
RunProgram(const std::vector<std::string>& aWords)
{
  const Command* command = aWords.empty() ? nullptr : FindCommand(aWords.front());
  try {
    return command == nullptr ? RunWithoutCommand(aWords) : RunCommand(*command, aWords);
  } catch (const docopt::DocoptExitHelp&) {
    std::cout << HelpOf(*command);
    return ExitCode::Done;
  } catch (const docopt::DocoptExitVersion&) {
    std::cout << kVersion << '\n';
    return ExitCode::Done;
  } catch (const std::exception& error) {
    const std::string name = command == nullptr ? "" : Concat(" ", command->name);
    std::cerr << "damasklink" << name << ": " << error.what() << "; see damasklink" << name
              << " --help\n";
    return ExitCode::InvalidUsage;
  }
}

} // namespace damasklink
