// Shared by the commands that run a host of a serving deployment: settings, logging, exit code.
#pragma once

#include <functional>

#include "Commands.h"
#include "ServingSignals.h"
#include "damasklink/state/Error.h"

namespace damasklink {

// Runs a host until it is asked to stop. Fails with the error that kept it from starting or
// running.
using ServingRun = std::function<Result<void>(const ServingSettings&, SettingsReader)>;

// Reads the settings file named by "--settings" or by the platform's environment, and the option
// "--metrics", and runs the host. Sends logs to standard output from then on.
ExitCode
RunServing(const Arguments& aArguments, const ServingRun& aRun);

} // namespace damasklink
