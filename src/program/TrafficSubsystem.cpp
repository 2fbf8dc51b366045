#include "TrafficSubsystem.h"

#include <thread>

#include "damasklink/transport/Log.h"

namespace damasklink {
namespace {

// How long stopped requests may take to send their error events.
constexpr Duration kStopTimeout = std::chrono::seconds(3);
// How long the settlements of claims may take to be committed before the process exits.
constexpr Duration kSettlementWait = std::chrono::seconds(3);
constexpr Duration kSettleCheckInterval = std::chrono::milliseconds(20);

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
    this->state.WaitUntilEnded(kStopTimeout);
  }
  const MonotonicTime deadline = this->context.clock.MonotonicNow() + kSettlementWait;
  while (this->claims.PendingSettlements() > 0 && this->context.clock.MonotonicNow() < deadline) {
    std::this_thread::sleep_for(kSettleCheckInterval);
  }
}

} // namespace damasklink
