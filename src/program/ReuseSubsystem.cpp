#include "ReuseSubsystem.h"

#include "Responses.h"

namespace damasklink {
namespace {

constexpr std::size_t kMostCalls = 1024;
// Answered prompts that wait to be exported; later ones are not kept.
constexpr std::size_t kMostKept = 4096;

} // namespace

ReuseSubsystem::ReuseSubsystem(const HostContext& aContext, Replicator& aGroups)
  : context(aContext)
  , groups(aGroups)
  , router(new CostRouter(aContext.clock, CostRouterOptions()))
  , routing(std::unique_ptr<Router>(this->router))
  , work(kMostCalls)
  , stores{ aGroups, this->routing, *this->router, this->answers, this->work }
  , module(aContext, this->stores)
  , keeper(kMostKept)
  , reuse(aContext, this->stores, this->module, this->keeper)
{
}

ReuseSubsystem::~ReuseSubsystem()
{
  // Their tasks use the other members.
  this->keeper.Stop();
  this->work.Stop();
}

Result<void>
ReuseSubsystem::Start()
{
  this->groups.AddMachine(
    ClaimsGroupId(this->context.settings.zone), StateMachineId::Leases, this->leases);
  this->context.control.Add(Channel::Stores, this->module);
  this->work.Start();
  this->keeper.Start();
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
  const bool taken = this->context.control.Post(
    [this, taken = std::move(event.value())] { this->module.HandleCacheEvent(taken); });
  if (!taken) {
    return RefusalResponse(
      Error{ ErrorKind::Overloaded, "the host has no room for the event", "send it again" });
  }
  return TextResponse("{}");
}

} // namespace damasklink
