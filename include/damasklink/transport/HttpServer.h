// An HTTP server behind a narrow interface, so that handlers do not see the library.
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

// One request as a handler sees it. Header names are in lower case.
struct HttpRequest
{
  std::string method;
  std::string path;
  // Path and query as they came, still percent-encoded.
  std::string target;
  std::string body;
  std::map<std::string, std::string> headers;
  std::map<std::string, std::string> query;
  // Text of the route's groups, from 0.
  std::vector<std::string> groups;

  // Returns the header's value, empty when it is missing.
  std::string Header(const std::string& aName) const;
  // Returns the query parameter's value, empty when it is missing.
  std::string Query(const std::string& aName) const;
};

// Where a streamed answer goes.
class StreamWriter
{
public:
  virtual ~StreamWriter() = default;

  // Sends bytes, waiting while the caller is slow. Returns false when the caller is gone.
  virtual bool Write(std::string_view aBytes) = 0;

  // Returns whether the caller is still there, without sending anything.
  virtual bool IsOpen() const = 0;
};

struct HttpResponse
{
  int status = 200;
  std::string contentType = "application/json";
  std::string body;
  std::vector<std::pair<std::string, std::string>> headers;
  // When set, it writes the body instead, on the thread of the handler after it returned. Returns
  // whether the answer is whole; a false one closes the connection without the end mark.
  std::function<bool(StreamWriter&)> stream;
};

using HttpHandler = std::function<HttpResponse(const HttpRequest&)>;

// Serves one address with a thread for each open connection, up to the limit of the options; what
// exceeds it is refused at once with status 429 and outcome "not_run".
//
//   HttpServer server({ endpoint, 16, limit, idle });
//   server.Route("GET", "/healthz", [](const HttpRequest&) { return HttpResponse{}; });
//   auto started = server.Start();
//
// Routes are regular expressions over the path. Stop() refuses new connections and waits for the
// running handlers.
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

  // Adds a route. Requires to be called before Start().
  void Route(const std::string& aMethod, const std::string& aPattern, HttpHandler aHandler);

  // Binds the address and serves on a thread of its own. Port 0 takes any free port. Fails with
  // Unavailable when the address is taken.
  Result<void> Start();

  // Returns the address with the port that was bound. Requires Start().
  Endpoint Address() const;

  void Stop();

private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace damasklink
