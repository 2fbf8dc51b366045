// A blocking HTTP client that reads the response chunk by chunk, on the calling thread.
//
// cpp-httplib's client passes a streamed response to a callback and so cannot return to its caller
// between two chunks. This one therefore uses Boost.Beast (docs/DESIGN.md).
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
  // Longest wait for one chunk of the response.
  Duration readTimeout = std::chrono::seconds(30);
};

struct HttpClientResponse
{
  int status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};

// One call in progress. Not thread-safe.
//
//   auto exchange = HttpExchange::Connect(call);     // Nothing has been sent yet.
//   exchange.value()->Send();                        // From here on the target may run the call.
//   exchange.value()->ReadHeader();
//   while (true) { auto chunk = exchange.value()->ReadSome(); ... }
//
// Destroying it closes the connection, which cancels the call.
class HttpExchange
{
public:
  // Connects. Fails with Unavailable; then nothing has been sent.
  static Result<std::unique_ptr<HttpExchange>> Connect(HttpCall aCall);

  ~HttpExchange();

  // Sends the whole call. Fails with Interrupted, or with DeadlineExceeded after readTimeout.
  Result<void> Send();

  // Reads the status line and the headers. Fails with Interrupted or DeadlineExceeded; it may be
  // called again after the latter.
  Result<void> ReadHeader();

  // Requires ReadHeader().
  int Status() const;
  // Returns the header's value, empty when it is missing. Requires ReadHeader().
  std::string Header(std::string_view aName) const;

  // Returns the next chunk of the body, or an empty text at its end. Fails with Interrupted when
  // the connection closes before the end, or with DeadlineExceeded; it may be called again after
  // the latter.
  Result<std::string> ReadSome();

  // Sets the longest wait for a chunk.
  void SetReadTimeout(Duration aTimeout);

private:
  class Impl;
  explicit HttpExchange(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> impl;
};

// Makes a call and reads the whole response. Fails as the methods above do, and with Overloaded
// when the body is larger than aMaxBody. Of the headers only content-type is returned.
Result<HttpClientResponse>
CallHttp(HttpCall aCall, ByteCount aMaxBody);

} // namespace damasklink
