// The signals of a process of a serving deployment: SIGHUP reads its settings anew, SIGTERM and
// SIGINT stop it.
#pragma once

#include <functional>
#include <optional>

#include "damasklink/state/ServingSettings.h"
#include "damasklink/transport/EventLoop.h"

namespace damasklink {

// Reads the settings anew; empty when they cannot be read.
using SettingsReader = std::function<std::optional<ServingSettings>()>;

class ServingSignals
{
public:
  ServingSignals(asio::io_context& aLoop, SettingsReader aReader);

  // Calls aReload with each set of settings that could be read, and aStop once, at the first signal
  // to stop.
  void Wait(std::function<void(const ServingSettings&)> aReload, std::function<void()> aStop);

  // Returns the settings as they are now, empty when they cannot be read.
  std::optional<ServingSettings> ReadSettings() const { return this->reader(); }

private:
  void WaitForNext();

  asio::signal_set signals;
  SettingsReader reader;
  std::function<void(const ServingSettings&)> reload;
  std::function<void()> stop;
};

} // namespace damasklink
