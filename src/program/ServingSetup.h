// What the commands of a serving deployment share: where the settings come from, how a run ends.
#pragma once

#include <functional>

#include "Commands.h"
#include "ServingSignals.h"
#include "damasklink/state/Error.h"

namespace damasklink {

// Runs a host until it is told to stop. Fails with what kept it from starting or going on.
using ServingRun = std::function<Result<void>(const ServingSettings&, SettingsReader)>;

// Reads the settings that "--settings" or the platform names, and "--metrics", and runs the host.
// From here on logs go to standard output.
ExitCode
RunServing(const Arguments& aArguments, const ServingRun& aRun);

} // namespace damasklink
