// The subcommands of the program, and what they share: arguments and exit codes.
//
// To add a subcommand, write a file with a function that returns a Command, declare the function
// here, and add it to AllCommands() in Commands.cpp.
#pragma once

#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include <docopt/docopt.h>

namespace damasklink {

// Exit codes, the same for every subcommand.
enum class ExitCode
{
  Done = 0,
  Refused = 1,
  InvalidUsage = 2,
  Unreachable = 3,
};

// How a subcommand prints its result.
enum class OutputFormat
{
  Text,
  Json,
};

// Thrown by a subcommand for invalid arguments. The program then prints the message and ends with
// InvalidUsage, as it does for errors that docopt finds.
class UsageError : public std::invalid_argument
{
public:
  using std::invalid_argument::invalid_argument;
};

// The arguments of a subcommand, by their names in its usage text.
using Arguments = std::map<std::string, docopt::value>;

// Returns the argument's text, or an empty text if it was not given. The usage text must name it.
std::string
TextOf(const Arguments& aArguments, const std::string& aName);

// Returns the format that `--output` names, or Text if it was not given. Throws UsageError for an
// unknown format.
OutputFormat
OutputOf(const Arguments& aArguments);

// One subcommand.
struct Command
{
  std::string_view name;
  // Its purpose in one sentence, for --help.
  std::string_view purpose;
  // The "Usage:" and "Options:" sections for docopt. Each usage line starts with "damasklink NAME"
  // and has [options]. The common options are appended.
  std::string_view usage;
  ExitCode (*run)(const Arguments& aArguments);
};

// Returns all subcommands in the order in which --help lists them.
const std::vector<Command>&
AllCommands();

// Runs the program with its command-line arguments, without its name. Prints results to standard
// output and errors to standard error.
ExitCode
RunProgram(const std::vector<std::string>& aWords);

// Runs a host until SIGTERM or SIGINT. A second signal ends it at once.
Command
ServeCommand();

// Checks settings and tree files, and prints every fault.
Command
CheckCommand();

// Applies subtrees, each of which is accepted or refused as a whole. Idempotent.
Command
ApplyCommand();

// Shows what apply would change.
Command
DiffCommand();

// Prints a subtree in the format that apply reads, or the list of subtrees.
Command
GetCommand();

// Prints accepted changes, newest first.
Command
HistoryCommand();

// Prints the status of the system as one host knows it.
Command
StatusCommand();

// Prints the service-level burn of each workspace from all hosts that can be reached.
Command
ReportCommand();

// Changes the log level of running hosts.
Command
LogLevelCommand();

// Runs an entry host of a serving deployment until SIGTERM or SIGINT.
Command
EntryCommand();

// Runs a control host of a serving deployment until SIGTERM or SIGINT.
Command
ControlCommand();

} // namespace damasklink
