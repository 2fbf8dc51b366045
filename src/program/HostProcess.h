// One running host: wires settings, control thread, traffic threads and addresses together.
#pragma once

#include <memory>

#include "damasklink/state/Error.h"
#include "damasklink/state/Settings.h"

namespace damasklink {

// A host of the system.
//
//   HostProcess host(settings);
//   auto started = host.Start();
//   ...
//   host.Stop();
class HostProcess
{
public:
  explicit HostProcess(HostSettings aSettings);
  ~HostProcess();

  // Opens all addresses. Fails with the first thing that is not as it must be.
  Result<void> Start();

  // Refuses new work, lets running requests end within the limit of the settings, and stops.
  void Stop();

  // Makes a running Stop() end what still runs with explicit errors. Safe from any thread.
  void Hurry();

  // Returns where it listens for callers, operators and targets, with the ports that were bound.
  // Requires Start().
  ListenAddresses Addresses() const;

private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace damasklink
