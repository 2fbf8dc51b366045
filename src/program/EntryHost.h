// An entry host of a serving deployment: accepts callers' connections and relays their calls.
//
//   EntryHost host(settings, calls, control, reader);
//   auto stopped = host.Run();
//
// Runs one event loop on one thread. It stores nothing on disk: what it routes calls by comes from
// control hosts (EntryHostState.h). Until the first configuration arrives it is not ready and
// refuses calls with Retry-After. Without contact to control hosts it goes on with its last state.
#pragma once

#include <memory>

#include "ServingSignals.h"
#include "damasklink/protocol/ServingDialect.h"
#include "damasklink/state/ServingSettings.h"

namespace damasklink {

class EntryHost
{
public:
  // The dialects must outlive the host. aReader returns the settings anew, for reloads.
  EntryHost(ServingSettings aSettings,
            const CallDialect& aCalls,
            const ControlDialect& aControl,
            SettingsReader aReader);
  ~EntryHost();
  EntryHost(const EntryHost&) = delete;
  EntryHost& operator=(const EntryHost&) = delete;

  // Runs until SIGTERM or SIGINT, then until all calls have ended or stopWithin of the settings is
  // over. Fails with Unavailable when an address is in use.
  Result<void> Run();

private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace damasklink
