// Carries out the rollout of weights on the event loop of the leading control host.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <vector>

#include "damasklink/coordination/WeightRollout.h"
#include "damasklink/protocol/ServingDialect.h"
#include "damasklink/transport/EventLoop.h"

namespace damasklink {

// Whether this host may order now, and as which holder.
struct OrderAuthority
{
  bool leaseHeld = false;
  HostId holder;
  // Rises with each leader: the term of the control group.
  FencingNumber fencing;
};

class RolloutExecutor
{
public:
  // aAuthority is asked again just before an order leaves.
  RolloutExecutor(asio::io_context& aLoop,
                  const Clock& aClock,
                  const EngineDialect& aDialect,
                  RolloutOptions aOptions,
                  std::function<OrderAuthority()> aAuthority);

  // Requires to be called several times a second.
  void Step(const std::map<ModelName, std::uint64_t>& aDesired,
            const std::vector<TargetRecord>& aEngines);

  const WeightRollout& Rollout() const { return this->rollout; }

private:
  Awaitable<void> Read(ReadEngine aEngine);
  Awaitable<void> Order(OrderWeights aOrder);
  Awaitable<Result<HttpAnswerMessage>> Call(Endpoint aEndpoint, HttpRequestMessage aMessage);

  asio::io_context& loop;
  const Clock& clock;
  const EngineDialect& dialect;
  std::function<OrderAuthority()> authority;
  WeightRollout rollout;
};

} // namespace damasklink
