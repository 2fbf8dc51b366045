// Signal handling of a process of a serving deployment: SIGHUP reloads its settings, SIGTERM and
// SIGINT stop it.
#pragma once

#include <functional>
#include <optional>

#include "damasklink/state/ServingSettings.h"
#include "damasklink/transport/EventLoop.h"

namespace damasklink {

// Reads the settings from their file. Returns nothing when they can't be read.
using SettingsReader = std::function<std::optional<ServingSettings>()>;

// Handles the signals on the event loop.
//
//   ServingSignals signals(loop, reader);
//   signals.Wait(onReload, onStop);
class ServingSignals
{
public:
  ServingSignals(asio::io_context& aLoop, SettingsReader aReader);

  // Starts to handle signals. Calls aReload with the settings at each SIGHUP, unless they can't be
  // read, and aStop at the first SIGTERM or SIGINT; later signals are not handled.
  void Wait(std::function<void(const ServingSettings&)> aReload, std::function<void()> aStop);

  // Reads the current settings. Returns nothing when they can't be read.
  std::optional<ServingSettings> ReadSettings() const { return this->reader(); }

private:
  void WaitForNext();

  asio::signal_set signals;
  SettingsReader reader;
  std::function<void(const ServingSettings&)> reload;
  std::function<void()> stop;
};

} // namespace damasklink
