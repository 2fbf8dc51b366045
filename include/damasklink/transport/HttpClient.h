// HTTP calls whose answer is read piece by piece, on the thread of the caller.
//
// cpp-httplib's client hands a streamed answer to a callback and so cannot give the thread back
// between two pieces; this one is Boost.Beast, the nearest kin (docs/DESIGN.md).
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "damasklink/state/Clock.h"
#include "damasklink/state/Error.h"
#include "damasklink/state/Settings.h"

namespace damasklink {

struct HttpCall
{
  Endpoint endpoint;
  std::string method = "GET";
  std::string path = "/";
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  Duration connectTimeout = std::chrono::milliseconds(500);
  // Longest wait for any one piece of the answer.
  Duration readTimeout = std::chrono::seconds(30);
};

struct HttpClientResponse
{
  int status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};

// One call in progress.
//
//   auto exchange = HttpExchange::Connect(call);     // No byte of the call has left yet.
//   exchange.value()->Send();                        // From here on the target may act on it.
//   exchange.value()->ReadHeader();
//   while (true) { auto piece = exchange.value()->ReadSome(); ... }
//
// Destroying it closes the connection, which cancels the call. Not thread-safe.
class HttpExchange
{
public:
  // Connects. Fails with Unavailable, and then surely nothing was sent.
  static Result<std::unique_ptr<HttpExchange>> Connect(HttpCall aCall);

  ~HttpExchange();

  // Sends the whole call. Fails with Interrupted.
  Result<void> Send();

  // Waits for the status line and headers. Fails with Interrupted or DeadlineExceeded; after the
  // latter it may be called again.
  Result<void> ReadHeader();

  // Requires ReadHeader().
  int Status() const;
  // Returns the header's value, empty when it is missing. Requires ReadHeader().
  std::string Header(std::string_view aName) const;

  // Returns the next piece of the body, empty at its proper end.
  // Fails with Interrupted when the connection closes before that, or with DeadlineExceeded; after
  // the latter it may be called again.
  Result<std::string> ReadSome();

  // Replaces the longest wait for a piece.
  void SetReadTimeout(Duration aTimeout);

private:
  class Impl;
  explicit HttpExchange(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> impl;
};

// Makes a whole call and reads an answer of at most aMostBody bytes.
Result<HttpClientResponse>
CallHttp(HttpCall aCall, ByteCount aMostBody);

} // namespace damasklink
