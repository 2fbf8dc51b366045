#include "ReuseSubsystem.h"

#include "Responses.h"

namespace damasklink {
namespace {

// Calls to stores and engines that wait; later ones are dropped.
constexpr std::size_t kMaxCalls = 1024;
// Answered prompts that wait for their export; later ones are not stored.
constexpr std::size_t kMaxExports = 4096;

} // namespace

ReuseSubsystem::ReuseSubsystem(const HostContext& aContext, Replicator& aGroups)
  : context(aContext)
  , groups(aGroups)
  , router(new CostRouter(aContext.clock, CostRouterOptions()))
  , routing(std::unique_ptr<Router>(this->router))
  , work(kMaxCalls)
  , stores{ aGroups, this->routing, *this->router, this->answers, this->work }
  , module(aContext, this->stores)
  , exporter(kMaxExports)
  , reuse(aContext, this->stores, this->module, this->exporter)
{
}

ReuseSubsystem::~ReuseSubsystem()
{
  // Stopped first: their tasks use the other members.
  this->exporter.Stop();
  this->work.Stop();
}

Result<void>
ReuseSubsystem::Start()
{
  this->groups.AddMachine(
    ClaimsGroupId(this->context.settings.zone), StateMachineId::Leases, this->leases);
  this->context.control.Add(Channel::Stores, this->module);
  this->work.Start();
  this->exporter.Start();
  return Success();
}

void
ReuseSubsystem::AddRoutes(const HostServers& aServers)
{
  aServers.targets.Route("POST", kCacheEventPath, [this](const HttpRequest& aRequest) {
    return this->HandleCacheEvent(aRequest);
  });
}

HttpResponse
ReuseSubsystem::HandleCacheEvent(const HttpRequest& aRequest)
{
  if (auto checked = CheckKey(aRequest, this->context.settings.targetKeys); !checked) {
    return RefusalResponse(checked.error());
  }
  auto event = ParseCacheEvent(aRequest.body);
  if (!event) {
    return RefusalResponse(event.error());
  }
  const bool posted = this->context.control.Post(
    [this, received = std::move(event.value())] { this->module.HandleCacheEvent(received); });
  if (!posted) {
    return RefusalResponse(
      Error{ ErrorKind::Overloaded, "the control thread is overloaded", "send it again" });
  }
  return TextResponse("{}");
}

} // namespace damasklink
