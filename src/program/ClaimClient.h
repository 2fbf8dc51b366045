// Claims idempotency keys at the claims groups of all zones, for the traffic threads.
#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <vector>

#include "HostContext.h"
#include "damasklink/coordination/DispatchRecord.h"
#include "damasklink/coordination/IdempotencyKeys.h"
#include "damasklink/coordination/ProposalRetrier.h"
#include "damasklink/protocol/ClaimStateMachine.h"
#include "damasklink/protocol/ErrorBody.h"

namespace damasklink {

// A call that carries an idempotency key.
struct KeyedCall
{
  WorkspaceId workspace;
  IdempotencyKey key;
  AttemptId attempt;
  // CallDigest(): a call with the same key and another digest is refused.
  Digest body;
  // Time limit of the run; the lease of the claim follows from it.
  Duration maxRunTime{ 0 };
  // Longest wait for the claim; ClaimClient has a limit of its own, too.
  Duration wait{ 0 };
};

class ClaimClient;

// A granted claim: the right to run one call. If Finish() was not called, the destructor releases
// the claim when the record says that nothing ran, and else abandons it.
class ClaimTicket
{
public:
  ClaimTicket(ClaimClient& aClient,
              ZoneId aHome,
              ClaimCommand aCommand,
              const DispatchRecord& aRecord,
              MonotonicTime aLeaseEnd);
  ~ClaimTicket();
  ClaimTicket(const ClaimTicket&) = delete;
  ClaimTicket& operator=(const ClaimTicket&) = delete;

  // Whether the lease is still valid. To be checked before each send: the process may have been
  // suspended for longer than the lease.
  bool LeaseValid(MonotonicTime aNow) const { return aNow < this->leaseEnd; }

  // Settles the claim as run. The answer is kept for repeats when it is given and is not longer
  // than MaxKeptAnswer().
  void Finish(std::optional<KeptAnswer> aAnswer);

private:
  ClaimClient& client;
  ZoneId home;
  ClaimCommand command;
  const DispatchRecord& record;
  MonotonicTime leaseEnd;
  bool settled = false;
};

// The result of ClaimClient::Claim(); exactly one member is set.
struct ClaimResult
{
  std::unique_ptr<ClaimTicket> ticket;
  // The answer of an earlier call with the same key.
  std::optional<KeptAnswer> kept;
  std::optional<CallerError> refusal;
};

// Claims idempotency keys. A traffic thread waits a limited time for the control thread, which
// proposes the command to the claims group of the key's zone.
//
//   auto result = claims.Claim(call, record);
//   if (result.refusal) ...
//
// Requires that the record outlives the ticket. Claim(), Mint() and Settle() are thread-safe;
// OnPeerMessage() and OnTick() are called on the control thread.
class ClaimClient final : public ControlModule
{
public:
  ClaimClient(const HostContext& aContext, Replicator& aGroups);

  // Registers the state machines of the claims groups, and itself at the control loop. To be called
  // before the loop starts.
  void Start();

  // Claims the call's key in its home zone. Returns once the claim is committed and synced there.
  // Refuses an invalid key, a key whose home zone did not answer in time (nothing ran then, and a
  // late grant is released) and a key that another attempt has used; the outcome of that attempt is
  // added to the record.
  ClaimResult Claim(const KeyedCall& aCall, DispatchRecord& aRecord);

  // Returns a new key whose home is this zone or, if this zone has no claims group, another one.
  IdempotencyKey Mint(const WorkspaceId& aWorkspace);

  // Proposes Finish, Abandon or Release without waiting for the result.
  void Settle(const ZoneId& aHome, ClaimCommand aCommand);

  // Returns how many settlements are neither committed nor given up.
  std::size_t PendingSettlements() const { return this->pendingSettlements.load(); }

  ByteCount MaxKeptAnswer() const { return this->context.settings.limits.keptAnswer; }

  void OnPeerMessage(const HostId& aFrom, const PeerMessage& aMessage) override;
  void OnTick(MonotonicTime aNow) override;

private:
  struct Waiter;

  Result<ClaimCommand> MakeClaim(const KeyedCall& aCall, ZoneId& aHome) const;
  Result<ZoneId> HomeOf(const KeyedCall& aCall, const KeyOrigin& aOrigin) const;
  Result<ClaimReply> Ask(const ZoneId& aHome, const ClaimCommand& aCommand, Duration aWait);
  void OnClaimAnswered(const std::shared_ptr<Waiter>& aWaiter,
                       const ZoneId& aHome,
                       const ClaimCommand& aCommand,
                       ProposalOutcome aOutcome);
  void ProposeSettlement(const ZoneId& aHome, const ClaimCommand& aCommand);

  const HostContext& context;
  Replicator& groups;
  // Zones that have a claims group; the same list on every host.
  std::vector<ZoneId> zones;
  std::map<ZoneId, ClaimStateMachine> machines;
  ProposalRetrier retrier;
  std::atomic<std::size_t> pendingSettlements{ 0 };
};

} // namespace damasklink
