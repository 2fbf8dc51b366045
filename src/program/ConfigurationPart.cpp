#include "ConfigurationPart.h"

#include "Responses.h"
#include "damasklink/protocol/EngineApi.h"

namespace damasklink {

ConfigurationPart::ConfigurationPart(const HostContext& aContext, Replicator& aGroups)
  : context(aContext)
  , groups(aGroups)
  , targets(aContext.clock,
            aContext.settings,
            aContext.peers,
            [&publisher = aContext.publisher](std::vector<TargetRecord> aTargets) {
              publisher.Change([&](TrafficView& aView) { aView.targets = std::move(aTargets); });
            })
{
}

Result<void>
ConfigurationPart::Start()
{
  this->context.control.Add(Channel::Targets, this->targets);
  if (this->context.settings.initialTree.empty()) {
    return Success();
  }
  auto text = ReadWholeFile(this->context.settings.initialTree);
  if (!text) {
    return Fail(text.error());
  }
  const auto parsed = ParseConfigTree(text.value(), this->context.settings.initialTree);
  if (!parsed.Ok()) {
    return Fail(ErrorKind::InvalidArgument,
                FormatFault(parsed.faults.front()),
                "run damasklink check for all faults");
  }
  this->context.publisher.Change(
    [&](TrafficView& aView) { aView.callers = std::make_shared<CallerDirectory>(parsed.value); });
  return Success();
}

void
ConfigurationPart::AddRoutes(const HostServers& aServers)
{
  aServers.targets.Route("POST", "/v1/targets/announce", [this](const HttpRequest& aRequest) {
    return this->TakeAnnouncement(aRequest);
  });
}

HttpResponse
ConfigurationPart::TakeAnnouncement(const HttpRequest& aRequest)
{
  auto record = ParseTargetRecord(aRequest.body);
  if (!record) {
    return RefusalResponse(record.error());
  }
  const bool posted =
    this->context.control.Post([this, taken = record.value()] { this->targets.Announce(taken); });
  if (!posted) {
    return RefusalResponse(
      Error{ ErrorKind::Overloaded, "the control thread is behind", "announce again shortly" });
  }
  HttpResponse response;
  response.body = "{}";
  return response;
}

} // namespace damasklink
