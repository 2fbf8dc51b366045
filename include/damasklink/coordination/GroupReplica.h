// The replica of one group on a host with a disk: its formation, log, state machines and membership
// changes.
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
  // The hosts that vote, sorted by name; must include this host.
  std::vector<HostId> listedVoters;
  // Whether this replica may form the group. False if the group is known to have been formed
  // before, so that a host that lost its disk waits for the hosts that still have the log.
  bool mayFormGroup = true;
  // Maximum number of voters; must be odd. Set only if hosts are discovered at run time rather than
  // listed.
  std::optional<std::size_t> maxVoters;
  // Number of applied entries, or bytes of their commands, after which a snapshot is taken.
  std::uint64_t snapshotEntries = 10'000;
  std::uint64_t snapshotBytes = std::uint64_t{ 1024 } * 1024;
};

// Work for the owner of a GroupReplica.
struct GroupActions
{
  // To be written after all earlier batches; call OnPersisted() when it is synced.
  std::optional<PersistBatch> persist;
  std::vector<AgreementMessage> messages;
};

// Drives one replica. Performs no I/O and is deterministic: the same calls in the same order give
// the same actions. Not thread-safe.
//
//   GroupReplica replica(clock, options, recovered);
//   replica.Machines().Add(StateMachineId::Claims, machine);
//   replica.Receive(message);
//   replica.Tick();
//   GroupActions actions = replica.TakeActions();
class GroupReplica
{
public:
  GroupReplica(const Clock& aClock, GroupOptions aOptions, RecoveredLog aRecovered);

  // All state machines must be added before the first TakeActions().
  GroupStateMachines& Machines() { return this->machines; }

  // Processes a message of this group; ignores messages for another replica or formation.
  void Receive(const AgreementMessage& aMessage);

  // Must be called every few milliseconds.
  void Tick();

  // Must be called when the batch with this number and all earlier ones are synced.
  void OnPersisted(std::uint64_t aNumber) { this->core.OnPersisted(aNumber); }

  // Applies committed entries and returns the work for the owner. Must be called after each of the
  // calls above.
  GroupActions TakeActions();

  // Adds a discovered host, which is then also asked whether the group was formed, and to add this
  // replica to the group.
  void AddDiscoveredHost(const HostId& aHost);

  // Must be called when a connection to the host is up: what was sent to it before is lost. A
  // replica that is not in the group asks it at once.
  void OnHostUp(const HostId& aHost);

  // Transfers leadership to another voter.
  void TransferLeadership() { this->core.TransferLeadership(); }

  // Returns the state of the group as this replica knows it; only its id once the replica has
  // stopped.
  GroupStatus Status() const;
  const RaftCore& Core() const { return this->core; }

  // Returns why this replica has stopped, or nothing while it runs. A stopped replica ignores all
  // messages and sends none.
  const std::optional<Error>& Failure() const { return this->failure; }

  // Stops the replica after a failure of its disk.
  void Stop(Error aReason) { this->failure = std::move(aReason); }

private:
  struct PendingAnswer
  {
    HostId host;
    ReplicaId replica;
    MonotonicTime since;
    // The term in which the proposal was appended.
    Term term;
  };

  // The last attempt that was seen of a host's proposer.
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
