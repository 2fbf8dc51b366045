#include "Commands.h"
#include "EntryHost.h"
#include "ServingSetup.h"
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
  return RunServing(aArguments, [](const ServingSettings& aSettings, SettingsReader aReader) {
    const platform::Dialect dialect;
    return EntryHost(aSettings, dialect, dialect, std::move(aReader)).Run();
  });
}

} // namespace

Command
EntryCommand()
{
  return Command{ "entry", "Runs an entry host of a serving deployment.", kUsage, Run };
}

} // namespace damasklink
