// What the commands of a serving deployment share: where the settings come from, how a run ends.
#pragma once

#include <optional>
#include <string>

#include "Commands.h"
#include "damasklink/state/Error.h"
#include "damasklink/state/ServingSettings.h"

namespace damasklink {

// Returns the file that was named, or else the one that the platform's environment names.
std::string
ServingSettingsFile(const std::string& aNamed);

// Reads the settings; prints and logs every fault, and returns nothing when there is one.
std::optional<ServingSettings>
LoadServingSettings(const std::string& aFile);

// Returns where metrics are served; port 0 when none was named. Throws WrongUseError for a port
// that is none.
Endpoint
MetricsEndpoint(const std::string& aPort, const ServingSettings& aSettings);

// Logs why a run failed, and returns the exit code.
ExitCode
EndOfServing(const Result<void>& aEnd);

} // namespace damasklink
