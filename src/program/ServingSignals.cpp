#include "ServingSignals.h"

#include <csignal>

#include "damasklink/transport/Log.h"

namespace damasklink {

ServingSignals::ServingSignals(asio::io_context& aLoop, SettingsReader aReader)
  : signals(aLoop, SIGTERM, SIGINT, SIGHUP)
  , reader(std::move(aReader))
{
}

void
ServingSignals::Wait(std::function<void(const ServingSettings&)> aReload,
                     std::function<void()> aStop)
{
  this->reload = std::move(aReload);
  this->stop = std::move(aStop);
  this->WaitForNext();
}

void
ServingSignals::WaitForNext()
{
  this->signals.async_wait([this](const IoError& aError, int aSignal) {
    if (aError) {
      return;
    }
    if (aSignal != SIGHUP) {
      LogEvent(LogLevel::Info, "stop_begun").With("signal", aSignal);
      this->stop();
      return;
    }
    if (const std::optional<ServingSettings> settings = this->reader()) {
      LogEvent(LogLevel::Info, "settings_reloaded").With("seeds", settings->seeds.size());
      this->reload(*settings);
    }
    this->WaitForNext();
  });
}

} // namespace damasklink
