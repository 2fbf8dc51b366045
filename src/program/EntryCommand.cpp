#include <charconv>

#include "Commands.h"
#include "EntryHost.h"
#include "ServingSetup.h"
#include "damasklink/state/Text.h"
#include "platform/Dialect.h"

namespace damasklink {
namespace {

constexpr std::string_view kUsage = R"(Usage:
  damasklink entry [options]

Options:
  --settings FILE    Settings of this host; without it, the file that the platform names.
  --metrics PORT     Serve /metrics on this port of the host's address.
  --hedge-share NUM  Send up to this share of the calls of a service, 0 to 0.2, to a second target
                     when the first is slow and the call may be repeated. Without it, none.
)";

// With more extra work, hedges would use up what retries after failures need.
constexpr double kMaxHedgeShare = 0.2;

double
HedgeShareOf(const Arguments& aArguments)
{
  const std::string text = TextOf(aArguments, "--hedge-share");
  if (text.empty()) {
    return 0;
  }
  double share = 0;
  const char* end = text.data() + text.size();
  const auto [parsed, fault] = std::from_chars(text.data(), end, share);
  if (fault != std::errc() || parsed != end || !(share >= 0 && share <= kMaxHedgeShare)) {
    throw UsageError(Concat("--hedge-share '",
                            text,
                            "' is not a share of calls; give a number from 0 (no hedges) to 0.2, "
                            "such as 0.03"));
  }
  return share;
}

ExitCode
Run(const Arguments& aArguments)
{
  const double hedgeShare = HedgeShareOf(aArguments);
  return RunServing(aArguments, [&](const ServingSettings& aSettings, SettingsReader aReader) {
    const platform::Dialect dialect;
    ServingSettings settings = aSettings;
    settings.hedgeShare = hedgeShare;
    return EntryHost(settings, dialect, dialect, std::move(aReader)).Run();
  });
}

} // namespace

Command
EntryCommand()
{
  return Command{ "entry", "Runs an entry host of a serving deployment.", kUsage, Run };
}

} // namespace damasklink
