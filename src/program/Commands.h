// The subcommands of the program, one file each, and what they share: arguments and exit codes.
//
// To add one: write its file with a function that returns a Command, declare the function here and
// add a row to AllCommands() in Commands.cpp.
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
  WrongUse = 2,
  Unreachable = 3,
};

// How a subcommand prints its result.
enum class OutputFormat
{
  Text,
  Json,
};

// Thrown by a subcommand whose arguments cannot be used; the program ends with WrongUse. docopt
// reports wrong arguments in the same way.
class WrongUseError : public std::invalid_argument
{
public:
  using std::invalid_argument::invalid_argument;
};

// The arguments of a subcommand by their names in its usage text.
using Arguments = std::map<std::string, docopt::value>;

// Returns the argument's text, empty when it was not given. Requires that the usage names it.
std::string
TextOf(const Arguments& aArguments, const std::string& aName);

// Returns the format that `--output` names, Text when it was not given. Throws WrongUseError for
// any other word.
OutputFormat
OutputOf(const Arguments& aArguments);

// One subcommand.
struct Command
{
  std::string_view name;
  // What it is for, in one sentence.
  std::string_view purpose;
  // docopt's "Usage:" lines and "Options:" of its own; the common options are added. Each usage
  // line starts with "damasklink NAME" and names [options].
  std::string_view usage;
  ExitCode (*run)(const Arguments& aArguments);
};

// Returns all subcommands in the order in which --help lists them.
const std::vector<Command>&
AllCommands();

// Runs the program with the words that follow its name. Results go to standard output, what went
// wrong to standard error.
ExitCode
RunProgram(const std::vector<std::string>& aWords);

// Runs a host until SIGTERM or SIGINT; a second signal ends it at once.
Command
ServeCommand();

// Checks settings and tree files and prints every fault.
Command
CheckCommand();

// Applies subtrees. Each is accepted or refused as a whole; running it again resends.
Command
ApplyCommand();

// Shows what apply would change.
Command
DiffCommand();

// Prints a subtree as apply takes it, or the list of subtrees.
Command
GetCommand();

// Prints accepted changes, newest first.
Command
HistoryCommand();

// Prints what one host knows of the system.
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
