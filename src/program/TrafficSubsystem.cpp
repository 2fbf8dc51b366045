#include "TrafficSubsystem.h"

#include <thread>

#include "damasklink/transport/Log.h"

namespace damasklink {
namespace {

// For error events to reach their callers once all must end.
constexpr Duration kEndPatience = std::chrono::seconds(3);
// For the ends of claims to be committed before the process goes.
constexpr Duration kSettlePatience = std::chrono::seconds(3);
constexpr Duration kSettleStep = std::chrono::milliseconds(20);

} // namespace

TrafficSubsystem::TrafficSubsystem(const HostContext& aContext,
                                   Replicator& aGroups,
                                   ReuseSubsystem& aReuse)
  : context(aContext)
  , claims(aContext, aGroups)
  , admission(aContext, this->state)
  , relay{ aContext, aReuse.Routing(), aReuse.Reuse(), this->claims, this->state, this->admission }
  , callers(this->relay)
{
}

Result<void>
TrafficSubsystem::Start()
{
  this->claims.Start();
  this->context.control.Add(Channel::Admission, this->admission);
  return Success();
}

void
TrafficSubsystem::AddRoutes(const HostServers& aServers)
{
  this->callers.AddRoutes(aServers.callers);
}

void
TrafficSubsystem::Drain()
{
  this->state.Close();
  if (!this->state.WaitUntilIdle(this->context.settings.limits.shutdown)) {
    LogEvent(LogLevel::Warning, "drain_cut_short").With("host", this->context.settings.host);
    this->state.StopNow();
    this->state.WaitUntilEnded(kEndPatience);
  }
  const MonotonicTime until = this->context.clock.MonotonicNow() + kSettlePatience;
  while (this->claims.PendingSettlements() > 0 && this->context.clock.MonotonicNow() < until) {
    std::this_thread::sleep_for(kSettleStep);
  }
}

} // namespace damasklink
