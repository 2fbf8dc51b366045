// A control host of a serving deployment: keeps a replica of the control group's log, serves
// targets and operators, and publishes the routing state to entry hosts.
#pragma once

#include <memory>

#include "ServingSignals.h"
#include "damasklink/protocol/ServingDialect.h"
#include "damasklink/state/ServingSettings.h"

namespace damasklink {

// Runs one control host.
//
//   ControlHost host(settings, dialect, dialect, dialect, reader);
//   auto ended = host.Run();
class ControlHost
{
public:
  // aReader reads the settings again on SIGHUP. The dialects must outlive the host.
  ControlHost(ServingSettings aSettings,
              const ControlDialect& aDialect,
              const StoreDialect& aStores,
              const EngineDialect& aEngines,
              SettingsReader aReader);
  ~ControlHost();
  ControlHost(const ControlHost&) = delete;
  ControlHost& operator=(const ControlHost&) = delete;

  // Runs the event loop on the calling thread until SIGTERM or SIGINT. Fails with Unavailable when
  // an address is in use, and with Corrupt or Storage when the data folder cannot be used.
  Result<void> Run();

private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace damasklink
