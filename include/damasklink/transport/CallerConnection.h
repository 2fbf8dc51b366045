// The server side of one HTTP/1.1 connection, on the event loop.
//
//   CallerConnection connection(std::move(socket));
//   auto request = co_await connection.Read(limits, memory);
//   if (!request) ...   // The error says how to respond, or that the caller closed.
//   co_await connection.WriteWhole(response, close);
//
// Handles one request at a time. Bytes that arrive before the response has been written stay in the
// socket. Not thread-safe: belongs to one event loop.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string_view>

#include "damasklink/coordination/ServingConfig.h"
#include "damasklink/state/Units.h"
#include "damasklink/transport/CallerChannel.h"
#include "damasklink/transport/RequestMemory.h"

namespace damasklink {

// Limits of the configuration with this version.
struct LimitsInForce
{
  CallerLimits limits;
  Revision version;
};

// Knows the limits in force, which may change while a connection waits for its next request.
class CallerLimitsSource
{
public:
  virtual ~CallerLimitsSource() = default;

  virtual LimitsInForce Current() const = 0;
};

// Why a connection ended.
enum class ConnectionEnd
{
  Answered, // After a whole response.
  CutOff,   // Before or within a response.
  NotTaken, // The caller did not take a response.
  CallerClosed,
  HostClosed, // While it was idle.
  IdleTimeout,
  TooSlow,
  HeadTooLarge,
  BodyTooLarge,
  NoMemory,
  Malformed,
};

std::string_view
ConnectionEndName(ConnectionEnd aEnd);

// How long and how much a lingering close reads at most.
struct LingerBounds
{
  Duration time = std::chrono::seconds(2);
  std::uint64_t bytes = 32 * kMebibyte;
};

enum class LingerEnd
{
  NotBegun, // The last response is not whole, or the connection was closed already.
  CallerClosed,
  TimeExceeded,
  BytesExceeded,
  TooMany, // Too many other connections were lingering.
};

std::string_view
LingerEndName(LingerEnd aEnd);

class CallerConnection final : public CallerChannel
{
public:
  explicit CallerConnection(TcpSocket aSocket);
  ~CallerConnection() override;
  CallerConnection(const CallerConnection&) = delete;
  CallerConnection& operator=(const CallerConnection&) = delete;

  // Reads the next request, body included. Fails with
  // - Interrupted when the caller closed the connection, or was idle for too long between requests,
  // - DeadlineExceeded when the head or the body arrived too slowly,
  // - Overloaded when the head exceeds its limit, NotPermitted when the body does,
  // - Unavailable when there is no memory for the body, of which a part may be unread,
  // - InvalidArgument when the bytes are not a valid request or their framing is ambiguous.
  // After a failure the connection must be closed, once the error response has been written.
  // The limits are those in force when the request begins. The arguments must outlive the read.
  Awaitable<Result<HttpRequestMessage>> Read(const CallerLimitsSource& aSource,
                                             RequestMemory& aMemory);
  Awaitable<Result<HttpRequestMessage>> Read(const CallerLimits& aLimits, RequestMemory& aMemory);

  // Waits until the caller has sent something, and reads nothing of it. Returns false if nothing
  // comes within aTimeout, or the caller closes the connection.
  Awaitable<bool> AwaitBytes(Duration aTimeout);

  // Applies the idle timeout in force to a connection that is waiting for a request.
  void OnLimitsChanged();

  // Returns the version of the limits that the last request was read with.
  Revision LimitsVersion() const { return this->limitsVersion; }

  Awaitable<bool> WriteWhole(HttpResponseMessage aResponse, bool aClose) override;
  Awaitable<bool> BeginStream(const HttpResponseHead& aHead,
                              std::string_view aChunk,
                              bool aClose) override;
  Awaitable<bool> WriteChunk(std::string_view aChunk) override;
  Awaitable<bool> EndStream() override;

  bool HasLeft() override;
  // Requires that no Read() is pending until StopWatching().
  void WatchForDisconnect(std::function<void()> aHandler) override;
  void StopWatching() override;

  // Closes the connection once the caller has closed it or a bound is reached. Until then, what
  // arrives is dropped: closed with unread bytes, the connection would be reset and the caller lose
  // the response. Closes at once unless a whole response was written since the last Read().
  Awaitable<LingerEnd> Linger(LingerBounds aBounds);

  // Returns whether Linger() would wait for the caller.
  bool MayLinger() const;

  // Requires that the connection has ended, or that Read() has failed.
  ConnectionEnd End() const;
  // Returns how many bytes were unread when Read() failed or the connection was closed.
  std::uint64_t UnreadBytes() const { return this->unread; }
  // Returns how many bytes a lingering close has dropped.
  std::uint64_t DroppedBytes() const;

  // Closes the connection unless a request is in progress or waits to be read, or it lingers.
  void CloseIfIdle();

  // Returns whether no request has begun since the last response.
  bool IsIdle() const { return this->idle; }

  // Closes immediately; pending operations fail. The caller sees a reset if it has sent more.
  void Close() override;

private:
  class Impl;
  class RequestParser;

  void NoteReadFailure(ConnectionEnd aEnd);
  ConnectionEnd ReadEnd(const IoError& aError) const;
  void CountUnread();
  Awaitable<IoError> AwaitRequest(const CallerLimitsSource& aSource);
  Awaitable<Result<void>> ReadBody(RequestParser& aParser,
                                   const CallerLimits& aLimits,
                                   RequestMemory& aMemory,
                                   HttpRequestMessage& aTo);

  std::unique_ptr<Impl> impl;
  // Set while the connection waits for a request.
  const CallerLimitsSource* waitsWith = nullptr;
  Revision limitsVersion;
  std::optional<ConnectionEnd> readEnd;
  std::uint64_t unread = 0;
  bool idle = true;
  // A response was written to its end, and no Read() has begun since.
  bool answered = false;
  bool lingering = false;
};

} // namespace damasklink
