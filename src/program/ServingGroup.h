// The control group of a serving deployment as one control host holds it, on its event loop.
#pragma once

#include <functional>
#include <optional>

#include "AgreementModule.h"
#include "WeightsDesk.h"
#include "damasklink/coordination/ServingStateMachine.h"
#include "damasklink/state/ServingSettings.h"
#include "damasklink/transport/EventLoop.h"

namespace damasklink {

class ServingGroup
{
public:
  // aApplied is called on the event loop when the state has changed.
  ServingGroup(asio::io_context& aLoop,
               const Clock& aClock,
               const ServingSettings& aSettings,
               Metrics& aMetrics,
               PeerSender& aPeers,
               std::function<void()> aApplied);

  // Opens the data folder; where its disk takes no writes, Step() goes on trying. Fails when the
  // folder is not as it must be, or another process has it.
  Result<void> Open();

  // Lets agreement act on what has come in. Requires to be called every few milliseconds.
  void Step();

  // Commits a command and returns what is in force after it. Fails with Unavailable, NotLeader or
  // DeadlineExceeded; after the last it may be committed all the same.
  Awaitable<Result<ServingCommandResult>> Commit(const ServingCommand& aCommand);

  // What is committed, as far as this host has applied it.
  const ServingStateMachine& State() const { return this->machine; }

  void OnPeerMessage(const HostId& aFrom, const PeerMessage& aMessage);
  void KnowHost(const HostId& aHost) { this->agreement.AddDiscoveredHost(aHost); }

  // Gives up leadership, because the process stops.
  void HandOver();

  // Whether this host leads and no other can meanwhile.
  bool HoldsLease() const;

  // Whether a leader was heard lately: else this host may be cut off.
  bool HearsLeader() const;

  // Whether this host may order now, and as which holder.
  OrderAuthority Authority() const;

  // The hosts of the group's newest membership, as the log on this host has it.
  std::vector<HostId> Members() const;

  // Why the replica has stopped for good, nothing while it works or waits for its disk.
  std::optional<Error> Failure() const;

private:
  // The answer to a command, and the timer that wakes the coroutine which waits for it.
  struct Answered;

  AgreementOptions Setup(Metrics& aMetrics, PeerSender& aPeers);
  const GroupReplica* Working() const;

  asio::io_context& loop;
  const Clock& clock;
  const ServingSettings& settings;
  std::function<void()> applied;
  ServingStateMachine machine;
  AgreementModule agreement;
  std::uint64_t seenChanges = 0;
  // When the data folder is tried again, nothing once it is open.
  std::optional<MonotonicTime> nextOpening;
  // Why it could not be used when it was tried again.
  std::optional<Error> folderFailure;
};

} // namespace damasklink
