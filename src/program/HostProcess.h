// A running host: creates and connects its parts, the control thread and the servers.
#pragma once

#include <memory>

#include "damasklink/state/Error.h"
#include "damasklink/state/Settings.h"

namespace damasklink {

// Not thread-safe, except for Hurry().
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

  // Starts all parts and opens all addresses. Fails with the first error; the host can't be used
  // then.
  Result<void> Start();

  // Refuses new requests, lets running ones end within the time limit of the settings, and stops.
  void Stop();

  // Makes a running Stop() end the remaining requests with errors at once. Thread-safe.
  void Hurry();

  // Returns the addresses for callers, operators and targets, with the ports that were bound.
  // Requires a successful Start().
  ListenAddresses Addresses() const;

private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace damasklink
