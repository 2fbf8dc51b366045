// A control host of a serving deployment: holds the replicated log, hears targets and operators,
// and tells entry hosts what to relay by.
#pragma once

#include <memory>

#include "ServingSignals.h"
#include "damasklink/protocol/ServingDialect.h"
#include "damasklink/state/ServingSettings.h"

namespace damasklink {

class ControlHost
{
public:
  // Requires that the dialects outlive the host.
  ControlHost(ServingSettings aSettings,
              const ControlDialect& aDialect,
              const StoreDialect& aStores,
              const EngineDialect& aEngines,
              SettingsReader aReader);
  ~ControlHost();
  ControlHost(const ControlHost&) = delete;
  ControlHost& operator=(const ControlHost&) = delete;

  // Runs until SIGTERM or SIGINT. Fails with Unavailable when an address is taken, and with Corrupt
  // or Storage when the data folder cannot be used.
  Result<void> Run();

private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace damasklink
