#include "OperatorPart.h"

#include "Responses.h"

namespace damasklink {

OperatorPart::OperatorPart(const HostContext& aContext)
  : context(aContext)
{
}

void
OperatorPart::AddRoutes(const HostServers& aServers)
{
  aServers.operators.Route(
    "GET", "/healthz", [](const HttpRequest&) { return TextResponse("ok\n"); });
  aServers.operators.Route("GET", "/readyz", [this](const HttpRequest&) {
    if (this->context.phase.load() == HostPhase::Ready) {
      return TextResponse("ready\n");
    }
    return RefusalResponse(
      Error{ ErrorKind::Unavailable, "this host is starting or leaving", "use another host" });
  });
}

} // namespace damasklink
