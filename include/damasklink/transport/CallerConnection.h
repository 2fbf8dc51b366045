// The serving side of one HTTP/1.1 connection on the event loop.
//
//   CallerConnection channel(std::move(socket));
//   auto request = co_await channel.Read(limits);
//   if (!request) ...                          // The error says what to answer, or that it left.
//   co_await channel.WriteWhole(answer, close);
//
// One request at a time. Bytes that come before the answer is written wait in the socket.
#pragma once

#include <functional>
#include <memory>

#include "damasklink/coordination/ServingConfig.h"
#include "damasklink/protocol/HttpMessage.h"
#include "damasklink/transport/EventLoop.h"

namespace damasklink {

class CallerConnection
{
public:
  explicit CallerConnection(TcpSocket aSocket);
  ~CallerConnection();
  CallerConnection(const CallerConnection&) = delete;
  CallerConnection& operator=(const CallerConnection&) = delete;

  // Reads the next request, body included. Fails with
  // - Interrupted when the peer closed, or was idle for too long, between two requests,
  // - DeadlineExceeded when the head or the body came too slowly,
  // - Overloaded when the head is larger than the limit, NotPermitted when the body is,
  // - InvalidArgument when the bytes are no request or could be read in two ways.
  // After any of them the connection must be closed once the failure has been answered.
  Awaitable<Result<HttpRequestMessage>> Read(const CallerLimits& aLimits);

  // Each returns whether the bytes were taken; a peer that left or does not read makes it false.
  Awaitable<bool> WriteWhole(HttpAnswerMessage aAnswer, bool aClose);
  // The head of an answer of unknown length, and its first piece with it.
  Awaitable<bool> BeginStream(const HttpAnswerHead& aHead, std::string_view aPiece, bool aClose);
  Awaitable<bool> WriteChunk(std::string_view aPiece);
  Awaitable<bool> EndStream();

  // Calls aLeft once when the peer closes before StopWatching(). Requires that nothing is read
  // meanwhile.
  void WatchForDisconnect(std::function<void()> aLeft);
  void StopWatching();

  // Closes when no request has been begun and none waits to be read.
  void CloseIfIdle();

  // Whether no request has been begun on the connection since the last answer.
  bool IsIdle() const { return this->idle; }

  // Closes at once; pending operations fail. The peer sees a reset when it has sent more.
  void Close();

private:
  class Impl;

  std::unique_ptr<Impl> impl;
  bool idle = true;
};

} // namespace damasklink
