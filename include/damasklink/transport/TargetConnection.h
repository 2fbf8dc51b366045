// The calling side of one HTTP/1.1 connection on the event loop, and the pool that keeps them.
//
//   std::unique_ptr<TargetConnection> channel = pool.TakeIdle(endpoint);
//   if (channel == nullptr) {
//     channel = std::make_unique<TargetConnection>(executor, clock);
//     auto connected = co_await channel->Connect(endpoint, patience);
//   }
//   co_await channel->Send(head, body);
//   auto answer = co_await channel->ReadHead();
//   while (auto piece = co_await channel->ReadChunk(); ...)
//   pool.Keep(endpoint, std::move(channel));
//
// An answer may begin before the request has been read, may have a length, chunks or end with its
// connection; one that is reset is not whole. Answers that belong to no request show by the
// request's id, which the caller of ReadHead() compares.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <absl/container/flat_hash_map.h>

#include "damasklink/protocol/HttpMessage.h"
#include "damasklink/transport/EventLoop.h"

namespace damasklink {

class TargetConnection
{
public:
  TargetConnection(const asio::any_io_executor& aExecutor, const Clock& aClock);
  ~TargetConnection();
  TargetConnection(const TargetConnection&) = delete;
  TargetConnection& operator=(const TargetConnection&) = delete;

  // Fails with NotFound when nothing listens there and else with Unavailable; then no byte of a
  // request has left this host.
  Awaitable<Result<void>> Connect(const Endpoint& aEndpoint, Duration aPatience);

  // Waits on a connection on which nothing was sent. Returns whether the other side left it open
  // for so long, or said something.
  Awaitable<bool> StaysOpen(Duration aFor);

  // Fails with Interrupted; then some bytes may have arrived.
  Awaitable<Result<void>> Send(const HttpRequestHead& aHead, std::string_view aBody);

  // Reads the next head that is no interim answer. Fails with Interrupted when the target closed,
  // with DeadlineExceeded when it did not even acknowledge the request, and with Corrupt when the
  // bytes are no answer.
  Awaitable<Result<HttpAnswerHead>> ReadHead();

  // Returns the next bytes of the body, valid until the next call, and nothing at its end. Fails
  // with Interrupted when the answer broke off and with Corrupt when its framing is broken.
  Awaitable<Result<std::optional<std::string_view>>> ReadChunk();

  // Reads the whole rest of the body, and tells of each piece that comes in. Fails as ReadChunk()
  // does, and with Overloaded when it is longer than aMost.
  Awaitable<Result<std::string>> ReadRest(std::size_t aMost,
                                          std::function<void()> aOnPiece = nullptr);

  // Whether the last answer is over and another request may be sent.
  bool IsReusable() const;

  // Whether an idle connection is still open and nothing has come on it, so far as this host can
  // see. Bytes without a request belong to nobody: such a connection must not be used.
  bool IsClean();

  MonotonicTime IdleUntil() const { return this->idleUntil; }

  // Closes at once. Pending operations fail with Interrupted.
  void Close();

private:
  class Impl;

  const Clock& clock;
  std::unique_ptr<Impl> impl;
  // When the target may close the connection for being idle.
  MonotonicTime idleUntil;
};

// Keeps idle connections by address, the most recently used first.
class TargetConnectionPool
{
public:
  // Idle connections kept to one target; more are closed. A host needs about as many as it has
  // requests at the target at once.
  static constexpr std::size_t kMaxIdle = 64;

  explicit TargetConnectionPool(const Clock& aClock)
    : clock(aClock)
  {
  }

  // Returns an idle connection that is still open, or null.
  std::unique_ptr<TargetConnection> TakeIdle(const Endpoint& aEndpoint);

  void Keep(const Endpoint& aEndpoint, std::unique_ptr<TargetConnection> aChannel);

  // Closes those that were idle for too long. Requires to be called now and then.
  void CloseExpired();

  // Closes the idle connections to an address.
  void CloseIdle(const Endpoint& aEndpoint) { this->idle.erase(FormatEndpoint(aEndpoint)); }

  void CloseAll() { this->idle.clear(); }

private:
  const Clock& clock;
  absl::flat_hash_map<std::string, std::deque<std::unique_ptr<TargetConnection>>> idle;
};

} // namespace damasklink
