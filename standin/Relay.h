// A TCP relay between two hosts that can be told to drop what goes one way, silently.
#pragma once

#include <atomic>
#include <list>
#include <memory>
#include <thread>

#include <absl/synchronization/mutex.h>

#include "damasklink/state/Settings.h"
#include "damasklink/transport/HttpServer.h"

namespace damasklink::standin {

struct RelayOptions
{
  Endpoint listen;
  Endpoint to;
};

// Passes bytes on between each connection it accepts and one that it opens to `to`.
//
//   PUT /drop/forward     Bytes towards `to` vanish; connections stay open.
//   PUT /drop/backward    Bytes from `to` vanish.
//   PUT /drop/none        Passes on again. Connections that lost bytes are closed first, as a
//                         network's would be by then: the middle of a frame must not come next.
//   GET /dropped          How many bytes vanished.
class Relay
{
public:
  explicit Relay(RelayOptions aOptions);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  // Listens. Fails with Unavailable when the address is taken.
  Result<void> Start();

  void AddRoutes(HttpServer& aControl);

private:
  enum class Dropping
  {
    None,
    Forward,
    Backward,
  };
  class Connection;

  void Accept();
  void Change(Dropping aDropping);
  // Ends and forgets connections that are over, or all of them.
  void Reap(bool aAll) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

  RelayOptions options;
  std::atomic<Dropping> dropping{ Dropping::None };
  std::atomic<std::uint64_t> droppedBytes{ 0 };
  std::atomic<bool> stopped{ false };
  int listener = -1;
  absl::Mutex mutex;
  std::list<std::unique_ptr<Connection>> connections ABSL_GUARDED_BY(mutex);
  std::thread acceptor;
};

} // namespace damasklink::standin
