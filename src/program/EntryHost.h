// An entry host of a serving deployment: takes callers' connections and relays their calls.
//
// One thread, one event loop. It holds nothing that must survive: what it relays by is told by
// control hosts (EntryPicture.h). Before the first picture it answers "come back later" and is not
// ready; cut off from control it goes on with what it knew.
#pragma once

#include <memory>

#include "ServingSignals.h"
#include "damasklink/protocol/ServingDialect.h"
#include "damasklink/state/ServingSettings.h"

namespace damasklink {

class EntryHost
{
public:
  // Requires that the dialects outlive the host.
  EntryHost(ServingSettings aSettings,
            const CallDialect& aCalls,
            const ControlDialect& aControl,
            SettingsReader aReader);
  ~EntryHost();
  EntryHost(const EntryHost&) = delete;
  EntryHost& operator=(const EntryHost&) = delete;

  // Runs until SIGTERM or SIGINT and all calls have ended, at the latest when the time to stop is
  // over. Fails with Unavailable when an address is taken.
  Result<void> Run();

private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace damasklink
