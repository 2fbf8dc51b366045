// One group on one host with a disk: its founding, its log, its machines, its repair.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "damasklink/coordination/GroupFormation.h"
#include "damasklink/coordination/GroupStateMachines.h"
#include "damasklink/coordination/MembershipRepair.h"
#include "damasklink/coordination/RaftCore.h"

namespace damasklink {

struct GroupOptions
{
  RaftOptions raft;
  // The hosts that are to vote, in the order of their names; this host among them.
  std::vector<HostId> listedVoters;
  // Whether this replica may found the group; false where it is known to have been formed before,
  // so that a host with a lost disk waits for those that remember.
  bool mayFormGroup = true;
  // Set where hosts are learnt while they run, not listed: how many of them vote. Odd.
  std::optional<std::size_t> maxVoters;
  // Applied entries, or bytes of commands, after which a snapshot is taken.
  std::uint64_t snapshotEntries = 10'000;
  std::uint64_t snapshotBytes = std::uint64_t{ 4 } * 1024 * 1024;
};

// What the owner has to do.
struct GroupActions
{
  // To write after all earlier ones; OnPersisted() tells that it is synced.
  std::optional<PersistBatch> persist;
  std::vector<AgreementMessage> messages;
};

// Drives one replica. Without I/O; the same calls in the same order give the same actions.
//
//   GroupReplica replica(clock, options, recovered);
//   replica.Machines().Add(StateMachineId::Claims, ledger);
//   replica.Receive(message);
//   replica.Tick();
//   GroupActions actions = replica.TakeActions();
class GroupReplica
{
public:
  GroupReplica(const Clock& aClock, GroupOptions aOptions, RecoveredLog aRecovered);

  // Requires that all machines are added before the first TakeActions().
  GroupStateMachines& Machines() { return this->machines; }

  // Takes any message of this group; drops what is not for this replica or another formation.
  void Receive(const AgreementMessage& aMessage);

  // Requires to be called every few milliseconds.
  void Tick();

  // Tells that the batch with this number, and all before it, are synced.
  void OnPersisted(std::uint64_t aNumber) { this->core.OnPersisted(aNumber); }

  // Applies what is committed and returns what is to be done. Requires to be called after each of
  // the calls above.
  GroupActions TakeActions();

  // Asks this host too, from now on, whether the group was formed and to be taken in.
  void AddDiscoveredHost(const HostId& aHost);

  // Gives up leadership in favour of another voter.
  void TransferLeadership() { this->core.TransferLeadership(); }

  GroupStatus Status() const;
  const RaftCore& Core() const { return this->core; }

  // Returns why this replica has stopped, nothing while it works. A stopped replica says and takes
  // nothing more.
  const std::optional<Error>& Failure() const { return this->failure; }

  // Stops the replica, because its disk failed it.
  void Stop(Error aReason) { this->failure = std::move(aReason); }

private:
  struct PendingAnswer
  {
    HostId host;
    ReplicaId replica;
    MonotonicTime since;
  };

  // How far a proposer's sendings were seen.
  struct AttemptHistory
  {
    std::uint64_t proposer = 0;
    Sequence last;
  };

  using ProposalKey = std::pair<std::uint64_t, Sequence>;

  void AnswerForLostReplica(const AgreementMessage& aMessage, const PreVoteRequest& aRequest);
  void AnswerFormationQuery(const AgreementMessage& aMessage, const FormationQuery& aQuery);
  void ApplyOutcome(const GroupFormation::Outcome& aOutcome);
  void OnProposal(const AgreementMessage& aMessage, const ForwardedProposal& aProposal);
  void Refuse(const AgreementMessage& aMessage, const ForwardedProposal& aProposal);
  void Answer(const PendingAnswer& aPending, const ProposalId& aProposal, std::string aAnswer);
  void SendJoinRequests();
  void Apply(const LogEntry& aEntry);
  void TakeSnapshot();
  void Load(const Snapshot& aSnapshot);
  bool HasLog() const { return this->core.Log().LastIndex() != LogIndex(); }
  AgreementMessage MakeMessage(const HostId& aTo, ReplicaId aReplica, AgreementBody aBody) const;

  const Clock& clock;
  GroupOptions options;
  RaftCore core;
  GroupStateMachines machines;
  GroupFormation formation;
  MembershipRepair repair;
  std::optional<Error> failure;

  std::map<ProposalKey, PendingAnswer> pendingAnswers;
  std::map<HostId, AttemptHistory> attempts;
  MonotonicTime nextJoinRequest;
  MonotonicTime nextExpiryCheck;
  LogIndex appliedIndex;
  Term appliedTerm;
  WallTime appliedAt;
  std::uint64_t bytesSinceSnapshot = 0;
  std::vector<AgreementMessage> outbox;
};

} // namespace damasklink
