#include "ServingSetup.h"

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
