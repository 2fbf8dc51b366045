#include "Commands.h"
#include "EntryHost.h"
#include "ServingSetup.h"
#include "damasklink/transport/Log.h"
#include "platform/Dialect.h"

namespace damasklink {
namespace {

constexpr std::string_view kUsage = R"(Usage:
  damasklink entry [options]

Options:
  --settings FILE    Settings of this host; without it, the file that the platform names.
  --metrics PORT     Serve /metrics on this port of the host's address.
)";

ExitCode
Run(const Arguments& aArguments)
{
  LogToStandardOutput();
  const std::string file = ServingSettingsFile(TextOf(aArguments, "--settings"));
  std::optional<ServingSettings> settings = LoadServingSettings(file);
  if (!settings) {
    return ExitCode::Refused;
  }
  settings->metrics = MetricsEndpoint(TextOf(aArguments, "--metrics"), *settings);
  const platform::Dialect dialect;
  EntryHost host(*settings, dialect, dialect, [file] { return LoadServingSettings(file); });
  return EndOfServing(host.Run());
}

} // namespace

Command
EntryCommand()
{
  return Command{ "entry", "Runs an entry host of a serving deployment.", kUsage, Run };
}

} // namespace damasklink
