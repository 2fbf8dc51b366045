// Carries out the rollout of weights from the leading control host: reads engines and sends them
// orders, as WeightRollout plans it.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <vector>

#include "damasklink/coordination/TargetRestPeriods.h"
#include "damasklink/coordination/WeightRollout.h"
#include "damasklink/protocol/ServingDialect.h"
#include "damasklink/transport/EventLoop.h"

namespace damasklink {

// Whether this host may send orders now, and the lease holder and fencing number for them.
struct OrderAuthority
{
  bool leaseHeld = false;
  HostId holder;
  // The term of the control group, which rises with each leader.
  FencingNumber fencing;
};

// All calls run on the event loop of the host; not thread-safe.
class RolloutExecutor
{
public:
  // aAuthority is called in each step, and again just before an order is sent. The references must
  // outlive the work of the loop.
  RolloutExecutor(asio::io_context& aLoop,
                  const Clock& aClock,
                  const EngineDialect& aDialect,
                  MemoryBudget& aMemory,
                  RolloutOptions aOptions,
                  std::function<OrderAuthority()> aAuthority);

  // Starts the reads and orders that are due. aDesired has the desired weights of each model. Must
  // be called several times a second.
  void Step(const std::map<ModelName, DesiredWeights>& aDesired,
            const std::vector<TargetRecord>& aEngines);

  const WeightRollout& Rollout() const { return this->rollout; }

private:
  Awaitable<void> Read(ReadEngine aEngine);
  Awaitable<void> Order(OrderWeights aOrder);
  Awaitable<Result<HttpResponseMessage>> Call(Endpoint aEndpoint, HttpRequestMessage aMessage);
  // Records the rest that an answer of an engine asks for.
  void ObserveRest(const TargetId& aTarget,
                   Incarnation aIncarnation,
                   const Result<HttpResponseMessage>& aAnswer);

  asio::io_context& loop;
  const Clock& clock;
  const EngineDialect& dialect;
  MemoryBudget& memory;
  std::function<OrderAuthority()> authority;
  WeightRollout rollout;
  TargetRestPeriods rests;
};

} // namespace damasklink
