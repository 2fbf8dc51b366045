// The replicas of one host, and its proposals to groups of other hosts, on the control thread.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <vector>

#include "GroupEventLog.h"
#include "HostContext.h"
#include "LogWriter.h"
#include "damasklink/coordination/GroupReplica.h"
#include "damasklink/coordination/ProposalForwarder.h"
#include "damasklink/state/DataFolder.h"

namespace damasklink {

// What an AgreementModule works with; the references must outlive it.
struct AgreementOptions
{
  const Clock& clock;
  Metrics& metrics;
  PeerSender& peers;
  // Called on the writer's thread when there are completions for the next OnTick().
  std::function<void()> wake;
  HostId host;
  // Empty on a host without a disk.
  std::string dataFolder;
  // All known hosts, including this one; AddDiscoveredHost() adds more.
  std::vector<PeerSettings> hosts;
  // The groups that this host has replicas of.
  std::vector<GroupId> groups;
  RaftTiming timing;
  // These two are as in GroupOptions.
  bool mayFormGroup = true;
  std::optional<std::size_t> maxVoters;
  // How long after a refused write the replica is reopened, repeatedly until the disk accepts
  // writes. When not set, the replica stays stopped.
  std::optional<Duration> reopenAfter;
};

// Runs the replicas of a host: passes messages, batches and completions between the replicas, the
// network and the log writer. All functions are called on the control thread, except where stated.
//
//   AgreementModule module(context);
//   module.AddMachine(group, part, machine);
//   auto opened = module.Open();
//   module.Propose(group, part, command, timeout, done);
class AgreementModule final
  : public ControlModule
  , public Replicator
{
public:
  explicit AgreementModule(const HostContext& aContext);
  explicit AgreementModule(AgreementOptions aOptions,
                           std::unique_ptr<Disk> aDisk = std::make_unique<PosixDisk>());

  // Opens the data folder and the groups of this host, if it has a disk. To be called before the
  // control thread starts. Fails when a file is damaged or in use, and with Storage when the disk
  // reports an error; after the latter it may be called again.
  Result<void> Open();

  void AddMachine(const GroupId& aGroup,
                  StateMachineId aMachineId,
                  ReplicatedStateMachine& aMachine) override;
  void Propose(const GroupId& aGroup,
               StateMachineId aMachineId,
               std::string aCommand,
               Duration aTimeout,
               ProposalDone aDone) override;
  GroupStatus Status(const GroupId& aGroup) const override;

  void OnPeerMessage(const HostId& aFrom, const PeerMessage& aMessage) override;
  void OnTick(MonotonicTime aNow) override;
  void OnShutdown() override;

  // Adds a host with a disk that was discovered at run time. It may vote and lead.
  void AddDiscoveredHost(const HostId& aHost);

  // Must be called when a connection to the host is up.
  void OnHostUp(const HostId& aHost);

  // Returns this host's replica of the group, or null.
  const GroupReplica* ReplicaOf(const GroupId& aGroup) const;

  // Returns once all batches so far are synced; the next OnTick() handles their completions.
  void WaitForWrites() { this->writer.WaitUntilIdle(); }

  // Returns why the group's replica on this host has stopped for good; nothing while it works or
  // waits to be reopened.
  std::optional<Error> FailureOf(const GroupId& aGroup) const;

private:
  struct LocalGroup
  {
    std::unique_ptr<GroupReplica> replica;
    // The incarnation of a claims group; null in the control group, which has the GroupRegistry.
    std::unique_ptr<IncarnationMachine> incarnation;
    bool registering = false;
    std::unique_ptr<GroupEventLog> events;
    // When the store is to be reopened, and whether that is in progress.
    std::optional<MonotonicTime> reopenAt;
    bool reopening = false;
  };

  struct Registration
  {
    GroupId group;
    StateMachineId machineId;
    ReplicatedStateMachine* machine;
  };

  Result<void> OpenGroup(const GroupId& aGroup);
  void StartReplica(const GroupId& aGroup, RecoveredLog aRecovered);
  std::unique_ptr<LogStore> StoreOf(const GroupId& aGroup);
  bool WaitsForDisk(const LocalGroup& aLocalGroup) const;
  void ReopenFailed(MonotonicTime aNow);
  // Restarts the replicas whose stores were reopened.
  void TakeReopened();
  void TakeCompletions();
  // Passes messages on until this host has none left to handle.
  void ProcessMessages();
  bool ProcessGroupActions(const GroupId& aGroup, LocalGroup& aLocalGroup);
  bool SendProposals();
  void Send(AgreementMessage aMessage);
  void Deliver(const AgreementMessage& aMessage);
  void RegisterFormation(const GroupId& aGroup, LocalGroup& aLocalGroup);
  void OnFormationRegistered(const GroupId& aGroup, const Result<std::string>& aAnswer);

  AgreementOptions options;
  std::unique_ptr<Disk> disk;
  std::unique_ptr<FileLock> lock;
  DataFolder folder;
  LogWriter writer;
  ProposalForwarder forwarder;
  GroupRegistry registry;
  std::vector<Registration> registrations;
  std::map<GroupId, LocalGroup> groups;
  // Messages from this host to itself.
  std::deque<AgreementMessage> toSelf;
};

} // namespace damasklink
