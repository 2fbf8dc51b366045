// The client side of one HTTP/1.1 connection, on the event loop, and a pool of idle ones.
//
//   std::unique_ptr<TargetConnection> connection = pool.TakeIdle(endpoint);
//   if (connection == nullptr) {
//     connection = std::make_unique<TargetConnection>(executor, clock);
//     auto connected = co_await connection->Connect(endpoint, timeout);
//   }
//   co_await connection->Send(head, body);
//   auto response = co_await connection->ReadHead();
//   while (auto chunk = co_await connection->ReadChunk(); ...)
//   pool.Keep(endpoint, std::move(connection));
//
// A response may begin before the target has read the whole request. Its body may have a length, be
// chunked, or end with the connection; after a reset it is incomplete. To detect responses that
// belong to another request, the caller of ReadHead() compares the request's id. Not thread-safe:
// belongs to one event loop.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <absl/container/flat_hash_map.h>

#include "damasklink/coordination/CountedBuffer.h"
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

  // Fails with NotFound when nothing listens at the address, and with Unavailable for any other
  // reason. In either case nothing of a request has been sent.
  Awaitable<Result<void>> Connect(const Endpoint& aEndpoint, Duration aTimeout);

  // Waits on a connection on which nothing was sent. Returns whether the target kept it open for
  // that long, or sent something.
  Awaitable<bool> StaysOpen(Duration aFor);

  // Sends a request. Fails with Interrupted, or with DeadlineExceeded when the target acknowledged
  // nothing; then it may have received a part of the request.
  Awaitable<Result<void>> Send(const HttpRequestHead& aHead, std::string_view aBody);

  // Reads the head of the response and skips interim (1xx) ones, of which a few may come. Fails
  // with Interrupted when the target closed the connection, with DeadlineExceeded when TCP got no
  // acknowledgement of the request, and with Corrupt when the bytes are not an HTTP response.
  Awaitable<Result<HttpResponseHead>> ReadHead();

  // Returns the length of the body that the last head states, nothing for a response to HEAD.
  std::optional<std::uint64_t> BodyLength() const;

  // Returns the next chunk of the body, valid until the next call, or nullopt at its end. Fails
  // with Interrupted when the response broke off and with Corrupt when its framing is invalid.
  Awaitable<Result<std::optional<std::string_view>>> ReadChunk();

  // Reads the rest of the body and calls aOnChunk after each chunk. Fails as ReadChunk() does, and
  // with Overloaded when the rest is longer than aMaxBytes or there is no memory for it.
  Awaitable<Result<void>> ReadRest(CountedBuffer& aTo,
                                   std::size_t aMaxBytes,
                                   std::function<void()> aOnChunk = nullptr);

  // Reads the rest of the body and keeps nothing of it. Fails as ReadChunk() does, and with
  // Overloaded when the rest is longer than aMaxBytes.
  Awaitable<Result<void>> Discard(std::size_t aMaxBytes);

  // Gives back the memory that only a connection in use needs.
  void ReleaseBuffers();

  // Returns whether the last response is complete and another request may be sent.
  bool IsReusable() const;

  // Returns whether an idle connection is still open and has received nothing, as far as this host
  // knows. Unsolicited bytes would be read as the response to the next request, so a connection
  // that received any must not be used.
  bool IsClean();

  // A response on this connection has named its request. From then on all are expected to.
  void MarkNamesRequests() { this->namesRequests = true; }
  bool NamesRequests() const { return this->namesRequests; }

  // Returns until when the connection may be reused.
  MonotonicTime IdleUntil() const { return this->idleUntil; }

  // Closes immediately. Pending operations fail with Interrupted.
  void Close();

private:
  class Impl;

  // Returns the head that was read.
  HttpResponseHead TakeHead();

  const Clock& clock;
  std::unique_ptr<Impl> impl;
  // When to stop reusing the connection, because the target may soon close it as idle.
  MonotonicTime idleUntil;
  bool namesRequests = false;
};

// Idle connections by address. The most recently used one is reused first. Belongs to one event
// loop.
class TargetConnectionPool
{
public:
  // Limit of idle connections per target; the oldest ones above it are closed. A host needs about
  // as many as it has requests in flight at the target.
  static constexpr std::size_t kMaxIdle = 64;

  explicit TargetConnectionPool(const Clock& aClock)
    : clock(aClock)
  {
  }

  // Returns an idle connection that is still open, or null if there is none.
  std::unique_ptr<TargetConnection> TakeIdle(const Endpoint& aEndpoint);

  // Returns whether there is an idle connection to the address that may be reused.
  bool HasIdle(const Endpoint& aEndpoint) const;

  // Adds the connection to the pool, or closes it if it cannot be reused.
  void Keep(const Endpoint& aEndpoint, std::unique_ptr<TargetConnection> aConnection);

  // Closes connections that were idle for too long. Must be called periodically.
  void CloseExpired();

  // Closes the idle connections to an address.
  void CloseIdle(const Endpoint& aEndpoint) { this->idle.erase(FormatEndpoint(aEndpoint)); }

  void CloseAll() { this->idle.clear(); }

private:
  const Clock& clock;
  absl::flat_hash_map<std::string, std::deque<std::unique_ptr<TargetConnection>>> idle;
};

} // namespace damasklink
