// The way from traffic threads to the claim ledgers of all zones.
#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <vector>

#include "HostContext.h"
#include "damasklink/coordination/DispatchRecord.h"
#include "damasklink/coordination/IdempotencyKeys.h"
#include "damasklink/coordination/ProposalRetrier.h"
#include "damasklink/protocol/ClaimMachine.h"
#include "damasklink/protocol/ErrorBody.h"

namespace damasklink {

// A call that carries an idempotency key.
struct KeyedCall
{
  WorkspaceId workspace;
  IdempotencyKey key;
  AttemptId attempt;
  // Of all that makes the call what it is.
  Digest body;
  // How long a run may take.
  Duration longestRun{ 0 };
  // Longest wait for the claim; the gate's own bound applies as well.
  Duration wait{ 0 };
};

class ClaimClient;

// The right to run one call. Settles the claim when destroyed: as released when the record says
// that nothing ran, else as abandoned, unless Finish() came first.
class ClaimTicket
{
public:
  ClaimTicket(ClaimClient& aGate,
              ZoneId aHome,
              ClaimCommand aCommand,
              const DispatchRecord& aRecord,
              MonotonicTime aLeaseEnd);
  ~ClaimTicket();
  ClaimTicket(const ClaimTicket&) = delete;
  ClaimTicket& operator=(const ClaimTicket&) = delete;

  // Whether the lease still runs; a process that was frozen must not send after it.
  bool LeaseValid(MonotonicTime aNow) const { return aNow < this->leaseEnd; }

  // Tells that the call ran; its answer, if given, is kept when it fits the limit.
  void Finish(std::optional<KeptAnswer> aAnswer);

private:
  ClaimClient& gate;
  ZoneId home;
  ClaimCommand command;
  const DispatchRecord& record;
  MonotonicTime leaseEnd;
  bool settled = false;
};

// What came of asking; one of the three is set.
struct ClaimResult
{
  std::unique_ptr<ClaimTicket> ticket;
  std::optional<KeptAnswer> kept;
  std::optional<CallerError> refusal;
};

// Claims keys for traffic threads, which wait for the control thread with a bound.
//
//   auto entrance = gate.Enter(call, record);
//   if (entrance.refusal) ...
//
// Requires that the record outlives the ticket.
class ClaimClient final : public ControlModule
{
public:
  ClaimClient(const HostContext& aContext, Replicator& aGroups);

  // Adds the ledgers and itself to the control loop. Requires to be called before it starts.
  void Start();

  // Claims the call's key at its home. Returns once that is committed and synced there.
  // Refuses a bad key, a key whose home did not answer in time (then nothing ran and nothing will)
  // and a key that another attempt has used; the record takes in what is known of that one.
  ClaimResult Enter(const KeyedCall& aCall, DispatchRecord& aRecord);

  // Returns a fresh key that is homed in this zone, or in a neighbour that can home claims.
  IdempotencyKey Mint(const WorkspaceId& aWorkspace);

  // Sends Finish, Abandon or Release without waiting for it.
  void Settle(const ZoneId& aHome, ClaimCommand aCommand);

  // Returns how many settlements are on their way.
  std::size_t PendingSettlements() const { return this->unsettled.load(); }

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
                       ProposalOutcome aEnd);
  void ProposeSettlement(const ZoneId& aHome, const ClaimCommand& aCommand);

  const HostContext& context;
  Replicator& groups;
  // Zones whose groups home claims, alike on every host.
  std::vector<ZoneId> zones;
  std::map<ZoneId, ClaimMachine> machines;
  ProposalRetrier retrier;
  std::atomic<std::size_t> unsettled{ 0 };
};

} // namespace damasklink
