#include "ServingSetup.h"

#include "damasklink/state/ProcessMemory.h"
#include "damasklink/state/Text.h"
#include "damasklink/transport/Log.h"
#include "platform/Settings.h"

namespace damasklink {
namespace {

// Returns the named file, or the one of the platform's environment if none was named.
std::string
ServingSettingsFile(const std::string& aNamed)
{
  return aNamed.empty() ? platform::SettingsFileFromEnvironment() : aNamed;
}

// Returns the settings, or nothing if they have faults; logs every fault.
std::optional<ServingSettings>
LoadServingSettings(const std::string& aFile)
{
  Parsed<ServingSettings> parsed = platform::LoadSettings(aFile);
  for (const Fault& fault : parsed.faults) {
    LogEvent(LogLevel::Error, "settings_fault").With("fault", FormatFault(fault));
  }
  return parsed.Ok() ? std::optional(std::move(parsed.value)) : std::nullopt;
}

// Returns the endpoint for metrics; its port is 0 when none was named.
Endpoint
MetricsEndpoint(const std::string& aPort, const ServingSettings& aSettings)
{
  Endpoint endpoint{ aSettings.host.Value(), 0 };
  if (aPort.empty()) {
    return endpoint;
  }
  auto parsed = ParseEndpoint(Concat(aSettings.host.Value(), ":", aPort));
  if (!parsed) {
    throw UsageError(Concat("--metrics '", aPort, "' is not a port number"));
  }
  return parsed.value();
}

} // namespace

ExitCode
RunServing(const Arguments& aArguments, const ServingRun& aRun)
{
  ReturnLargeBlocks();
  LogToStandardOutput();
  const std::string file = ServingSettingsFile(TextOf(aArguments, "--settings"));
  std::optional<ServingSettings> settings = LoadServingSettings(file);
  if (!settings) {
    return ExitCode::Refused;
  }
  settings->metrics = MetricsEndpoint(TextOf(aArguments, "--metrics"), *settings);
  const Result<void> end = aRun(*settings, [file] { return LoadServingSettings(file); });
  if (!end) {
    LogEvent(LogLevel::Error, "serving_failed").With("error", end.error());
    return ExitCode::Refused;
  }
  return ExitCode::Done;
}

} // namespace damasklink
