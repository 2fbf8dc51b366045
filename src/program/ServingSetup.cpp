#include "ServingSetup.h"

#include "damasklink/state/Text.h"
#include "damasklink/transport/Log.h"
#include "platform/Settings.h"

namespace damasklink {

std::string
ServingSettingsFile(const std::string& aNamed)
{
  return aNamed.empty() ? platform::SettingsFileOfEnvironment() : aNamed;
}

std::optional<ServingSettings>
LoadServingSettings(const std::string& aFile)
{
  Parsed<ServingSettings> parsed = platform::LoadSettings(aFile);
  for (const Fault& fault : parsed.faults) {
    LogEvent(LogLevel::Error, "settings_fault").With("fault", FormatFault(fault));
  }
  return parsed.Ok() ? std::optional(std::move(parsed.value)) : std::nullopt;
}

Endpoint
MetricsEndpoint(const std::string& aPort, const ServingSettings& aSettings)
{
  Endpoint endpoint{ aSettings.host.Value(), 0 };
  if (aPort.empty()) {
    return endpoint;
  }
  auto parsed = ParseEndpoint(Concat(aSettings.host.Value(), ":", aPort));
  if (!parsed) {
    throw WrongUseError(Concat("--metrics '", aPort, "' is no port"));
  }
  return parsed.value();
}

ExitCode
EndOfServing(const Result<void>& aEnd)
{
  if (!aEnd) {
    LogEvent(LogLevel::Error, "serving_failed").With("error", aEnd.error());
    return ExitCode::Refused;
  }
  return ExitCode::Done;
}

} // namespace damasklink
