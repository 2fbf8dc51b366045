#include "MetricsServer.h"

#include "damasklink/protocol/MetricsText.h"

namespace damasklink {

Result<void>
MetricsServer::Listen(const Endpoint& aEndpoint)
{
  if (aEndpoint.port == 0) {
    return Success();
  }
  return this->listener.Listen(aEndpoint,
                               [this](auto aChannel) { return this->Serve(std::move(aChannel)); });
}

Awaitable<void>
MetricsServer::Serve(std::shared_ptr<CallerConnection> aChannel)
{
  while (true) {
    auto request = co_await aChannel->Read(CallerLimits(), this->requestMemory);
    if (!request) {
      break;
    }
    HttpResponseMessage answer;
    answer.head.status = 404;
    if (PathOf(request.value().head.target) == "/metrics") {
      answer.head.status = 200;
      answer.head.fields.Add("Content-Type", "text/plain; version=0.0.4");
      answer.body = FormatMetrics(this->registry.Snapshot(), this->host);
      answer.body += FormatMemory(this->memory, this->host);
    }
    if (!co_await aChannel->WriteWhole(std::move(answer), false)) {
      break;
    }
  }
  aChannel->Close();
}

} // namespace damasklink
