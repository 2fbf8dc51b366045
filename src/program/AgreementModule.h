// The replicas of one host on the control thread, and its way to the groups of all other hosts.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <vector>

#include "HostContext.h"
#include "LogWriter.h"
#include "damasklink/coordination/GroupReplica.h"
#include "damasklink/coordination/ProposalForwarder.h"
#include "damasklink/state/DataFolder.h"

namespace damasklink {

// What a host's replicas stand on.
struct AgreementOptions
{
  const Clock& clock;
  Metrics& metrics;
  PeerSender& peers;
  // Called on another thread when completions are there to be taken at the next OnTick().
  std::function<void()> wake;
  HostId host;
  // Empty on a host without a disk.
  std::string dataFolder;
  // All hosts that are known, this one among them; AddDiscoveredHost() adds further ones.
  std::vector<PeerSettings> hosts;
  // The groups that this host holds replicas of.
  std::vector<GroupId> groups;
  RaftTiming timing;
  // As in GroupOptions.
  bool mayFormGroup = true;
  std::optional<std::size_t> maxVoters;
  // Where set, a replica whose disk refused a write is opened anew this long after, and again until
  // the disk takes writes; else it stays stopped.
  std::optional<Duration> reopenAfter;
};

// Moves messages, batches and completions between replicas, network and log writer.
class AgreementModule final
  : public ControlModule
  , public Replicator
{
public:
  explicit AgreementModule(const HostContext& aContext);
  explicit AgreementModule(AgreementOptions aOptions,
                           std::unique_ptr<Disk> aDisk = std::make_unique<PosixDisk>());

  // Opens the data folder and the groups of this host, if it has a disk. Requires to be called
  // before the control thread starts. Fails with the reason when a file is not as it must be, and
  // with Storage when the disk refuses; after the latter it may be called again.
  Result<void> Open();

  void AddMachine(const GroupId& aGroup,
                  StateMachineId aPart,
                  ReplicatedStateMachine& aMachine) override;
  void Propose(const GroupId& aGroup,
               StateMachineId aPart,
               std::string aCommand,
               Duration aTimeout,
               ProposalDone aDone) override;
  GroupStatus Status(const GroupId& aGroup) const override;

  void OnPeerMessage(const HostId& aFrom, const PeerMessage& aMessage) override;
  void OnTick(MonotonicTime aNow) override;
  void OnShutdown() override;

  // Takes a host with a disk that was learnt while this one runs: it may vote and lead.
  void AddDiscoveredHost(const HostId& aHost);

  // Returns the replica of a group that this host holds, or null.
  const GroupReplica* ReplicaOf(const GroupId& aGroup) const;

  // Returns once everything handed to the disk so far is synced; the next OnTick() acts on it.
  void WaitForWrites() { this->writer.WaitUntilIdle(); }

  // Returns why the group's replica on this host has stopped for good, nothing while it works or
  // waits for its disk.
  std::optional<Error> FailureOf(const GroupId& aGroup) const;

private:
  struct LocalGroup
  {
    std::unique_ptr<GroupReplica> replica;
    // The group's own machine: the registry in the control group, its founding elsewhere.
    std::unique_ptr<IncarnationMachine> life;
    bool registering = false;
    bool wasLeading = false;
    Membership lastMembership;
    bool failureLogged = false;
    // When its store is opened anew, and whether that is under way.
    std::optional<MonotonicTime> reopenAt;
    bool reopening = false;
  };

  struct Registration
  {
    GroupId group;
    StateMachineId part;
    ReplicatedStateMachine* machine;
  };

  Result<void> OpenGroup(const GroupId& aGroup);
  void StartReplica(const GroupId& aGroup, RecoveredLog aRecovered);
  std::unique_ptr<LogStore> StoreOf(const GroupId& aGroup);
  bool WaitsForDisk(const LocalGroup& aHeld) const;
  void ReopenFailed(MonotonicTime aNow);
  void TakeReopened();
  void TakeCompletions();
  void ProcessMessages();
  bool ProcessGroupActions(const GroupId& aGroup, LocalGroup& aHeld);
  bool SendProposals();
  void Send(AgreementMessage aMessage);
  void Deliver(const AgreementMessage& aMessage);
  void LogChanges(const GroupId& aGroup, LocalGroup& aHeld);
  void RegisterFormation(const GroupId& aGroup, LocalGroup& aHeld);
  void OnFormationRegistered(const GroupId& aGroup, const Result<std::string>& aAnswer);

  AgreementOptions options;
  std::unique_ptr<Disk> disk;
  std::unique_ptr<FileLock> lock;
  DataFolder folder;
  LogWriter writer;
  ProposalForwarder tracker;
  GroupRegistry registry;
  std::vector<Registration> registrations;
  std::map<GroupId, LocalGroup> groups;
  // Messages of this host to itself.
  std::deque<AgreementMessage> toSelf;
};

} // namespace damasklink
