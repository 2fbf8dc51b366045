// Finds out whether the process of a target whose response broke off has ended.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "damasklink/coordination/Target.h"
#include "damasklink/transport/TargetConnection.h"

namespace damasklink {

// How a connection to the target's address shows that its process has ended. A running target
// accepts connections even if it failed a response. A process that has ended refuses them until it
// is started again. Where another process listens at its address, each connection may be
// accepted and closed at once. A target with too many connections does that, too, but goes on with
// the requests that it runs.
enum class TerminationEvidence
{
  // Nobody listens at the address. Whatever was sent there was sent before the process ended.
  Refused,
  // Another process that listens there closes each connection. Requests sent after the process
  // ended may have been closed by it, too, and so broke off without having reached the target.
  Dropped,
};

// Connects to targets on the event loop.
//
//   TargetProbe probe(loop, clock);
//   probe.Run(record, [](TerminationEvidence aEvidence) { ... });   // Called if the process ended.
//   probe.OnBytes(target);                                          // The target is alive.
//
// Not thread-safe.
class TargetProbe
{
public:
  using TerminationHandler = std::function<void(TerminationEvidence)>;

  // The loop and the clock must outlive the probe, and the probe must outlive the loop's run.
  TargetProbe(asio::io_context& aLoop, const Clock& aClock)
    : loop(aLoop)
    , clock(aClock)
  {
  }

  // Starts a probe. Calls for the same incarnation of a target share the one that is running.
  void Run(const TargetRecord& aTarget, TerminationHandler aOnTerminated);

  // To be called when bytes of a response arrive from the target.
  void OnBytes(const TargetId& aTarget)
  {
    if (!this->waiting.empty()) {
      this->alive.insert(aTarget);
    }
  }

private:
  // The result of one connection to the target.
  enum class ConnectResult
  {
    Open,
    // Nobody listens.
    Refused,
    // It was accepted and closed without any bytes.
    Dropped,
    // No answer, which a broken link causes, too.
    Nothing,
  };

  using ProbeKey = std::pair<TargetId, Incarnation>;

  Awaitable<void> Check(TargetRecord aTarget);
  Awaitable<std::optional<TerminationEvidence>> FindEvidence(TargetRecord aTarget);
  Awaitable<ConnectResult> Connect(Endpoint aAddress);

  asio::io_context& loop;
  const Clock& clock;
  std::map<ProbeKey, std::vector<TerminationHandler>> waiting;
  // Targets that sent bytes while a probe was running.
  std::set<TargetId> alive;
};

} // namespace damasklink
