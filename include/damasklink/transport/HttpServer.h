// An HTTP server whose interface hides the library (cpp-httplib) from handlers.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "damasklink/state/Error.h"
#include "damasklink/state/Settings.h"

namespace damasklink {

// A request as passed to a handler. Header names are in lower case.
struct HttpRequest
{
  std::string method;
  std::string path;
  // Path and query as received, still percent-encoded.
  std::string target;
  std::string body;
  std::map<std::string, std::string> headers;
  std::map<std::string, std::string> query;
  // Texts that the capture groups of the route's expression matched; the first group is at 0.
  std::vector<std::string> groups;

  // Returns the header's value, empty when it is missing.
  std::string Header(const std::string& aName) const;
  // Returns the query parameter's value, empty when it is missing.
  std::string Query(const std::string& aName) const;
};

// Writes the body of a streamed response.
class StreamWriter
{
public:
  virtual ~StreamWriter() = default;

  // Sends bytes; blocks while the caller reads slowly. Returns false when the caller disconnected.
  virtual bool Write(std::string_view aBytes) = 0;

  // Returns whether the caller is still connected, without sending anything.
  virtual bool IsOpen() const = 0;
};

struct HttpResponse
{
  int status = 200;
  std::string contentType = "application/json";
  std::string body;
  std::vector<std::pair<std::string, std::string>> headers;
  // When set, it writes the body instead, on the handler's thread after the handler returned. It
  // returns whether the body is complete; otherwise the connection is closed without a last chunk.
  std::function<bool(StreamWriter&)> stream;
};

using HttpHandler = std::function<HttpResponse(const HttpRequest&)>;

// Serves one address with one thread for each open connection, up to Options::threads. Requests on
// further connections are refused at once with status 429 and outcome "not_run".
//
//   HttpServer server({ endpoint, 16, limit, idle });
//   server.Route("GET", "/healthz", [](const HttpRequest&) { return HttpResponse{}; });
//   auto started = server.Start();
//
// Routes are regular expressions over the path. Handlers run on the connections' threads, so they
// must be thread-safe. Stop() refuses new connections and waits for running handlers.
class HttpServer
{
public:
  struct Options
  {
    Endpoint endpoint;
    std::size_t threads = 16;
    ByteCount maxBody{ kMebibyte };
    Duration idleTimeout = std::chrono::seconds(30);
  };

  explicit HttpServer(Options aOptions);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Adds a route. Must be called before Start().
  void Route(const std::string& aMethod, const std::string& aPattern, HttpHandler aHandler);

  // Binds the address and accepts connections on a thread of its own. Port 0 selects any free port.
  // Fails with Unavailable when the address is in use.
  Result<void> Start();

  // Returns the address with the bound port. Requires Start().
  Endpoint Address() const;

  void Stop();

private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace damasklink
