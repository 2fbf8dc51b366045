#include "damasklink/transport/HttpServer.h"

#include <atomic>
#include <thread>

#include <absl/strings/ascii.h>
#include <httplib.h>
#include <sys/socket.h>

#include "damasklink/protocol/ErrorBody.h"
#include "damasklink/state/Text.h"
#include "damasklink/transport/ConnectionThreads.h"
#include "damasklink/transport/Log.h"

namespace damasklink {
namespace {

constexpr int kBacklog = 1024;
constexpr std::string_view kNotFoundRemedy = "compare the path and method with docs/API.md";

HttpRequest
ReadRequest(const httplib::Request& aRequest)
{
  HttpRequest request;
  request.method = aRequest.method;
  request.path = aRequest.path;
  request.target = aRequest.target;
  request.body = aRequest.body;
  for (const auto& [name, value] : aRequest.headers) {
    request.headers.emplace(absl::AsciiStrToLower(name), value);
  }
  for (const auto& [name, value] : aRequest.params) {
    request.query.emplace(name, value);
  }
  for (std::size_t index = 1; index < aRequest.matches.size(); ++index) {
    request.groups.push_back(aRequest.matches[index].str());
  }
  return request;
}

class SinkWriter final : public StreamWriter
{
public:
  explicit SinkWriter(httplib::DataSink& aSink)
    : sink(aSink)
  {
  }

  bool Write(std::string_view aBytes) override
  {
    return this->sink.write(aBytes.data(), aBytes.size());
  }

  bool IsOpen() const override { return this->sink.is_writable(); }

private:
  httplib::DataSink& sink;
};

void
WriteResponse(HttpResponse aResponse, httplib::Response& aTo)
{
  aTo.status = aResponse.status;
  for (const auto& [name, value] : aResponse.headers) {
    aTo.set_header(name, value);
  }
  if (!aResponse.stream) {
    aTo.set_content(aResponse.body, aResponse.contentType);
    return;
  }
  auto provider = [stream = std::move(aResponse.stream)](std::size_t, httplib::DataSink& aSink) {
    SinkWriter writer(aSink);
    if (!stream(writer)) {
      return false;
    }
    aSink.done();
    return true;
  };
  aTo.set_chunked_content_provider(aResponse.contentType, std::move(provider));
}

// Runs the library's connections on ConnectionThreads.
class ConnectionQueue final : public httplib::TaskQueue
{
public:
  explicit ConnectionQueue(std::size_t aMaxConnections)
    : threads(aMaxConnections)
  {
  }

  // Names required by the library.
  // NOLINTBEGIN(readability-identifier-naming)
  void enqueue(std::function<void()> aTask) override { this->threads.Run(std::move(aTask)); }
  void shutdown() override { this->threads.Shutdown(); }
  // NOLINTEND(readability-identifier-naming)

private:
  ConnectionThreads threads;
};

// Refuses the request at once when all threads are busy, so that the caller does not wait.
httplib::Server::HandlerResponse
RefuseBeyondLimit(const httplib::Request& /*aRequest*/, httplib::Response& aResponse)
{
  if (!ConnectionThreads::MustRefuse()) {
    return httplib::Server::HandlerResponse::Unhandled;
  }
  CallerError refusal;
  refusal.error = { ErrorKind::Overloaded,
                    "all connections of this host are in use",
                    "retry after the time in Retry-After, or use another host" };
  refusal.retryAfter = std::chrono::seconds(1);
  aResponse.status = HttpStatusOf(refusal.error.kind);
  aResponse.set_header("Retry-After", "1");
  aResponse.set_header("Connection", "close");
  aResponse.set_content(FormatErrorBody(refusal), "application/json");
  return httplib::Server::HandlerResponse::Handled;
}

// Fills in the body of errors from the library itself, such as unknown paths and too large bodies.
void
FillErrorBody(const httplib::Request& /*aRequest*/, httplib::Response& aResponse)
{
  if (!aResponse.body.empty()) {
    return;
  }
  constexpr int kNotFound = 404;
  constexpr int kTooLarge = 413;
  CallerError error;
  if (aResponse.status == kNotFound) {
    error.error = { ErrorKind::NotFound, "no such path", std::string(kNotFoundRemedy) };
  } else if (aResponse.status == kTooLarge) {
    error.error = { ErrorKind::InvalidArgument, "the body is too large", "send a smaller body" };
  } else {
    error.error = { ErrorKind::InvalidArgument, "the request is malformed", "send valid HTTP" };
  }
  aResponse.set_content(FormatErrorBody(error), "application/json");
}

} // namespace

std::string
HttpRequest::Header(const std::string& aName) const
{
  const auto found = this->headers.find(aName);
  return found == this->headers.end() ? "" : found->second;
}

std::string
HttpRequest::Query(const std::string& aName) const
{
  const auto found = this->query.find(aName);
  return found == this->query.end() ? "" : found->second;
}

class HttpServer::Impl
{
public:
  explicit Impl(Options aOptions)
    : options(std::move(aOptions))
  {
    const std::size_t threads = this->options.threads;
    this->server.new_task_queue = [threads] { return new ConnectionQueue(threads); };
    this->server.set_pre_routing_handler(RefuseBeyondLimit);
    this->server.set_payload_max_length(this->options.maxBody.Value());
    const auto timeout =
      std::chrono::duration_cast<std::chrono::microseconds>(this->options.idleTimeout);
    constexpr std::int64_t kMicros = 1'000'000;
    this->server.set_read_timeout(timeout.count() / kMicros, timeout.count() % kMicros);
    this->server.set_write_timeout(timeout.count() / kMicros, timeout.count() % kMicros);
    this->server.set_keep_alive_max_count(1'000'000);
    this->server.set_tcp_nodelay(true);
    this->server.set_socket_options([this](int aDescriptor) {
      // Replaces the library's own options, which would silently let two processes share an
      // address.
      const int enabled = 1;
      ::setsockopt(aDescriptor, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
      this->listeningSocket = aDescriptor;
    });
    this->server.set_error_handler(FillErrorBody);
  }

  // Port 0 selects any free port, which is written to aEndpoint.
  bool Bind(Endpoint& aEndpoint)
  {
    const char* address = aEndpoint.address.c_str();
    if (aEndpoint.port != 0) {
      return this->server.bind_to_port(address, aEndpoint.port) && this->RaiseBacklog();
    }
    const int port = this->server.bind_to_any_port(address);
    aEndpoint.port = static_cast<std::uint16_t>(port);
    return port > 0 && this->RaiseBacklog();
  }

  // The library listens with a backlog of 5. A burst of callers would lose connections and wait a
  // second for TCP to retry. Calling listen() again replaces the backlog.
  bool RaiseBacklog() const { return ::listen(this->listeningSocket, kBacklog) == 0; }

  int listeningSocket = -1;

  httplib::Server server;
  Options options;
  std::thread thread;
};

HttpServer::HttpServer(Options aOptions)
  : impl(std::make_unique<Impl>(std::move(aOptions)))
{
}

HttpServer::~HttpServer()
{
  this->Stop();
}

void
HttpServer::Route(const std::string& aMethod, const std::string& aPattern, HttpHandler aHandler)
{
  auto adapter = [handler = std::move(aHandler)](const httplib::Request& aRequest,
                                                 httplib::Response& aResponse) {
    WriteResponse(handler(ReadRequest(aRequest)), aResponse);
  };
  httplib::Server& server = this->impl->server;
  if (aMethod == "GET") {
    server.Get(aPattern, std::move(adapter));
  } else if (aMethod == "POST") {
    server.Post(aPattern, std::move(adapter));
  } else if (aMethod == "PUT") {
    server.Put(aPattern, std::move(adapter));
  } else if (aMethod == "PATCH") {
    server.Patch(aPattern, std::move(adapter));
  } else if (aMethod == "DELETE") {
    server.Delete(aPattern, std::move(adapter));
  }
}

Result<void>
HttpServer::Start()
{
  Endpoint& endpoint = this->impl->options.endpoint;
  if (!this->impl->Bind(endpoint)) {
    return Fail(ErrorKind::Unavailable,
                Concat("cannot listen on ", FormatEndpoint(endpoint)),
                "end the process that holds the address, or choose another");
  }
  this->impl->thread = std::thread([this] { this->impl->server.listen_after_bind(); });
  while (!this->impl->server.is_running()) {
    std::this_thread::yield();
  }
  return Success();
}

Endpoint
HttpServer::Address() const
{
  return this->impl->options.endpoint;
}

void
HttpServer::Stop()
{
  if (!this->impl->thread.joinable()) {
    return;
  }
  this->impl->server.stop();
  this->impl->thread.join();
}

} // namespace damasklink
