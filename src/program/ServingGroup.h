// The replica of the control group of a serving deployment on one control host.
#pragma once

#include <functional>
#include <optional>

#include "AgreementModule.h"
#include "RolloutExecutor.h"
#include "damasklink/coordination/ServingStateMachine.h"
#include "damasklink/state/ServingSettings.h"
#include "damasklink/transport/EventLoop.h"

namespace damasklink {

// Wraps agreement and the replicated ServingStateMachine for the event loop, on which all calls
// run.
//
//   auto result = co_await group.Commit(SetWeightVersion{ model, version });
//   group.State().Weights();
class ServingGroup
{
public:
  // aApplied is called on the event loop when the state has changed. The references must outlive
  // the group.
  ServingGroup(asio::io_context& aLoop,
               const Clock& aClock,
               const ServingSettings& aSettings,
               Metrics& aMetrics,
               PeerSender& aPeers,
               std::function<void()> aApplied);

  // Opens the data folder. If its disk refuses writes, succeeds, and Step() tries again. Fails if
  // the folder is damaged, or another process uses it.
  Result<void> Open();

  // Runs the timers of agreement and applies committed commands. Must be called every few
  // milliseconds.
  void Step();

  // Commits a command and returns its result. Fails with Unavailable, NotLeader or
  // DeadlineExceeded; after the last the command may still be committed.
  Awaitable<Result<ServingCommandResult>> Commit(const ServingCommand& aCommand);

  // The committed state as far as this host has applied it.
  const ServingStateMachine& State() const { return this->machine; }

  void OnPeerMessage(const HostId& aFrom, const PeerMessage& aMessage);
  void AddDiscoveredHost(const HostId& aHost) { this->agreement.AddDiscoveredHost(aHost); }
  void OnPeerUp(const HostId& aHost) { this->agreement.OnHostUp(aHost); }

  // Transfers leadership to another host, because the process stops.
  void TransferLeadership();

  // Whether this host leads, and no other host can lead at the same time.
  bool HoldsLease() const;

  // Whether a leader was heard recently. If not, this host may be isolated.
  bool HasRecentLeader() const;

  // Whether this host may send orders to engines now, with holder and fencing number.
  OrderAuthority Authority() const;

  // The hosts of the newest membership in this host's log.
  std::vector<HostId> Members() const;

  // Why the replica has stopped for good; empty while it works or waits for its disk.
  std::optional<Error> Failure() const;

private:
  // The result of a command, and the timer that wakes the coroutine waiting for it.
  struct PendingCommit;

  AgreementOptions Setup(Metrics& aMetrics, PeerSender& aPeers);
  const GroupReplica* WorkingReplica() const;

  asio::io_context& loop;
  const Clock& clock;
  const ServingSettings& settings;
  std::function<void()> applied;
  ServingStateMachine machine;
  AgreementModule agreement;
  std::uint64_t seenChanges = 0;
  // When the data folder is tried again; empty once it is open.
  std::optional<MonotonicTime> nextOpening;
  // Why the data folder could not be used when it was tried again.
  std::optional<Error> folderFailure;
};

} // namespace damasklink
