// The subcommands of the program, one file each, and their exit codes.
#pragma once

#include <string>
#include <vector>

namespace damasklink {

// Exit codes, the same for every subcommand.
enum class ExitCode
{
  Done = 0,
  Refused = 1,
  WrongUse = 2,
  Unreachable = 3,
};

// Runs a host until SIGTERM or SIGINT; a second signal ends it at once.
ExitCode
RunServe(const std::string& aSettingsFile, const std::string& aLogLevel);

// Checks settings and tree files and prints every fault.
ExitCode
RunCheck(const std::vector<std::string>& aFiles);

} // namespace damasklink
