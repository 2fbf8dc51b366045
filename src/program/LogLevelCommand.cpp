#include <algorithm>
#include <iostream>

#include "Commands.h"
#include "OperatorCalls.h"
#include "damasklink/state/Text.h"
#include "damasklink/transport/Log.h"

namespace damasklink {
namespace {

constexpr std::string_view kUsage = R"(Usage:
  damasklink log-level LEVEL --settings FILE [options]
  damasklink log-level LEVEL (--host ADDR)... [options]

Changes the log level of running hosts until they restart. LEVEL is debug, info, warning or error.

Options:
  --settings FILE    Settings of any host; all its peers are changed.
  --host ADDR        Operators' address of a host, as IP:PORT.
  --key-file FILE    File with the operator key; else the environment's DAMASKLINK_OPERATOR_KEY.
)";

// Changes the level of one host, prints the outcome, and returns the exit code for this host.
ExitCode
ChangeLevel(const Endpoint& aHost, const std::string& aLevel, const std::string& aKey)
{
  const std::string body = Concat(R"({"level":")", aLevel, R"("})");
  auto changed = CallOperator({ aHost, "PUT", "/v1/log-level", aKey, body });
  if (changed) {
    std::cout << FormatEndpoint(aHost) << ": " << aLevel << '\n';
    return ExitCode::Done;
  }
  std::cerr << FormatEndpoint(aHost) << ": " << changed.error() << '\n';
  const bool unreached = changed.error().kind == ErrorKind::Unavailable;
  return unreached ? ExitCode::Unreachable : ExitCode::Refused;
}

ExitCode
Run(const Arguments& aArguments)
{
  const std::string level = TextOf(aArguments, "LEVEL");
  LogLevel parsed = LogLevel::Info;
  if (!ParseLogLevel(level, parsed)) {
    throw UsageError(
      Concat("'", level, "' is not a log level; write debug, info, warning or error"));
  }
  const std::string key = OperatorKey(aArguments);
  ExitCode worst = ExitCode::Done;
  for (const Endpoint& host : HostsOf(aArguments)) {
    worst = std::max(worst, ChangeLevel(host, level, key));
  }
  return worst;
}

} // namespace

Command
LogLevelCommand()
{
  return Command{ "log-level", "Changes the log level of running hosts.", kUsage, Run };
}

} // namespace damasklink
