#include "AgreementModule.h"

#include <random>
#include <utility>

#include "damasklink/coordination/GroupPlacement.h"
#include "damasklink/protocol/AgreementCodec.h"
#include "damasklink/state/Text.h"
#include "damasklink/transport/Log.h"

namespace damasklink {
namespace {

constexpr Duration kRegistrationTimeout = std::chrono::seconds(5);

// Returns a random number other than zero.
std::uint64_t
RandomNumber()
{
  std::random_device device;
  constexpr int kHalf = 32;
  const std::uint64_t number = (std::uint64_t{ device() } << kHalf) | device();
  return number == 0 ? 1 : number;
}

RaftTiming
TimingOf(const HostTimeouts& aTimeouts)
{
  return RaftTiming{ aTimeouts.heartbeat, aTimeouts.electionLeast, aTimeouts.electionMost };
}

// A leader concludes from the answer to an append request that those before it were lost, so these
// stay in order. Proposals stay in order among themselves.
MessageStream
StreamOf(const AgreementMessage& aMessage)
{
  if (std::holds_alternative<ForwardedProposal>(aMessage.body)) {
    return MessageStream::Proposals;
  }
  const bool ordered = std::holds_alternative<AppendRequest>(aMessage.body) ||
                       std::holds_alternative<SnapshotPiece>(aMessage.body);
  return ordered && !aMessage.independent ? MessageStream::Main : MessageStream::Independent;
}

AgreementOptions
OptionsOf(const HostContext& aContext)
{
  const HostSettings& settings = aContext.settings;
  return AgreementOptions{
    aContext.clock,
    aContext.metrics,
    aContext.peers,
    // An empty task wakes the control thread.
    [&control = aContext.control] { control.Post([] {}); },
    settings.host,
    settings.dataFolder,
    settings.peers,
    GroupsOf(settings.peers, settings.host),
    TimingOf(settings.timeouts),
    true,
    std::nullopt,
    std::nullopt,
  };
}

} // namespace

AgreementModule::AgreementModule(const HostContext& aContext)
  : AgreementModule(OptionsOf(aContext))
{
}

AgreementModule::AgreementModule(AgreementOptions aOptions, std::unique_ptr<Disk> aDisk)
  : options(std::move(aOptions))
  , disk(std::move(aDisk))
  , writer(this->options.wake)
  , forwarder(this->options.clock, this->options.host, RandomNumber())
{
}

Result<void>
AgreementModule::Open()
{
  const std::string& path = this->options.dataFolder;
  if (path.empty()) {
    return Success();
  }
  if (auto made = this->disk->MakeFolder(path); !made) {
    return made;
  }
  if (this->lock == nullptr) {
    auto locked = FileLock::Take(Concat(path, "/lock"));
    if (!locked) {
      return Fail(locked.error());
    }
    this->lock = std::move(locked.value());
  }
  auto opened = OpenDataFolder(*this->disk, path, ReplicaId(RandomNumber()));
  if (!opened) {
    return Fail(opened.error());
  }
  this->folder = std::move(opened.value());
  for (const GroupId& group : this->options.groups) {
    if (auto replicaOpened = this->OpenGroup(group); !replicaOpened) {
      return replicaOpened;
    }
  }
  this->writer.Start();
  return Success();
}

std::unique_ptr<LogStore>
AgreementModule::StoreOf(const GroupId& aGroup)
{
  return std::make_unique<LogStore>(*this->disk, this->folder.GroupFolder(aGroup));
}

Result<void>
AgreementModule::OpenGroup(const GroupId& aGroup)
{
  auto store = this->StoreOf(aGroup);
  auto recovered = store->Open();
  if (!recovered) {
    return Fail(recovered.error());
  }
  this->StartReplica(aGroup, std::move(recovered.value()));
  this->writer.Add(aGroup, std::move(store));
  return Success();
}

void
AgreementModule::StartReplica(const GroupId& aGroup, RecoveredLog aRecovered)
{
  LogEvent(LogLevel::Info, "group_opened")
    .With("group", aGroup)
    .With("replica", this->folder.replica)
    .With("formation", aRecovered.hardState.formation)
    .With("term", aRecovered.hardState.term)
    .With("entries", aRecovered.entries.size());
  GroupOptions groupOptions;
  groupOptions.raft.group = aGroup;
  groupOptions.raft.host = this->options.host;
  groupOptions.raft.replica = this->folder.replica;
  groupOptions.raft.timing = this->options.timing;
  groupOptions.raft.seed = RandomNumber();
  groupOptions.listedVoters = ListedVoters(this->options.hosts, aGroup);
  groupOptions.mayFormGroup = this->options.mayFormGroup;
  groupOptions.maxVoters = this->options.maxVoters;
  LocalGroup& localGroup = this->groups[aGroup];
  localGroup = LocalGroup();
  localGroup.replica = std::make_unique<GroupReplica>(
    this->options.clock, std::move(groupOptions), std::move(aRecovered));
  localGroup.events = std::make_unique<GroupEventLog>(
    this->options.clock, this->options.metrics, *localGroup.replica);
  if (aGroup == ControlGroupId()) {
    localGroup.replica->Machines().Add(StateMachineId::Groups, this->registry);
  } else {
    localGroup.incarnation = std::make_unique<IncarnationMachine>();
    localGroup.replica->Machines().Add(StateMachineId::Groups, *localGroup.incarnation);
    localGroup.replica->Machines().SetIncarnation(*localGroup.incarnation);
  }
  for (const Registration& added : this->registrations) {
    if (added.group == aGroup) {
      localGroup.replica->Machines().Add(added.machineId, *added.machine);
    }
  }
}

bool
AgreementModule::WaitsForDisk(const LocalGroup& aLocalGroup) const
{
  const std::optional<Error>& failure = aLocalGroup.replica->Failure();
  return this->options.reopenAfter && failure && failure->kind == ErrorKind::Storage;
}

// After a failed write the replica may have more in memory than is on disk. It is therefore rebuilt
// from the disk, as after a start. Only the log needs the disk, so the rest of the process keeps
// running; a full disk usually has space again within seconds.
void
AgreementModule::ReopenFailed(MonotonicTime aNow)
{
  for (auto& [group, localGroup] : this->groups) {
    if (!this->WaitsForDisk(localGroup) || localGroup.reopening) {
      continue;
    }
    if (!localGroup.reopenAt) {
      localGroup.reopenAt = aNow + *this->options.reopenAfter;
    }
    if (aNow >= *localGroup.reopenAt) {
      localGroup.reopening = true;
      this->writer.Reopen(group, this->StoreOf(group));
    }
  }
}

void
AgreementModule::TakeReopened()
{
  for (ReopenedStore& reopened : this->writer.TakeReopened()) {
    if (reopened.recovered) {
      this->StartReplica(reopened.group, std::move(reopened.recovered.value()));
      continue;
    }
    LogEvent(LogLevel::Warning, "group_not_opened")
      .With("group", reopened.group)
      .With("error", reopened.recovered.error());
    LocalGroup& localGroup = this->groups.at(reopened.group);
    localGroup.reopening = false;
    localGroup.reopenAt.reset();
    localGroup.replica->Stop(reopened.recovered.error());
  }
}

void
AgreementModule::AddMachine(const GroupId& aGroup,
                            StateMachineId aMachineId,
                            ReplicatedStateMachine& aMachine)
{
  this->registrations.push_back(Registration{ aGroup, aMachineId, &aMachine });
  const auto found = this->groups.find(aGroup);
  if (found != this->groups.end()) {
    found->second.replica->Machines().Add(aMachineId, aMachine);
  }
}

void
AgreementModule::Propose(const GroupId& aGroup,
                         StateMachineId aMachineId,
                         std::string aCommand,
                         Duration aTimeout,
                         ProposalDone aDone)
{
  this->forwarder.Start(aGroup,
                        ListedVoters(this->options.hosts, aGroup),
                        aMachineId,
                        std::move(aCommand),
                        aTimeout,
                        std::move(aDone));
}

GroupStatus
AgreementModule::Status(const GroupId& aGroup) const
{
  const auto found = this->groups.find(aGroup);
  if (found != this->groups.end()) {
    return found->second.replica->Status();
  }
  GroupStatus status;
  status.group = aGroup;
  status.leader = this->forwarder.LastLeader(aGroup);
  return status;
}

void
AgreementModule::AddDiscoveredHost(const HostId& aHost)
{
  for (const PeerSettings& known : this->options.hosts) {
    if (known.host == aHost) {
      return;
    }
  }
  PeerSettings discovered;
  discovered.host = aHost;
  discovered.disk = true;
  this->options.hosts.push_back(std::move(discovered));
  for (auto& [group, localGroup] : this->groups) {
    localGroup.replica->AddDiscoveredHost(aHost);
  }
}

const GroupReplica*
AgreementModule::ReplicaOf(const GroupId& aGroup) const
{
  const auto found = this->groups.find(aGroup);
  return found == this->groups.end() ? nullptr : found->second.replica.get();
}

std::optional<Error>
AgreementModule::FailureOf(const GroupId& aGroup) const
{
  const auto found = this->groups.find(aGroup);
  if (found == this->groups.end() || this->WaitsForDisk(found->second)) {
    return std::nullopt;
  }
  return found->second.replica->Failure();
}

void
AgreementModule::OnPeerMessage(const HostId& aFrom, const PeerMessage& aMessage)
{
  auto decoded = DecodeAgreementMessage(aMessage.payload);
  if (!decoded) {
    LogEvent(LogLevel::Warning, "agreement_message_refused")
      .With("from", aFrom)
      .With("error", decoded.error());
    return;
  }
  AgreementMessage& message = decoded.value();
  message.group = aMessage.group;
  message.fromHost = aFrom;
  message.toHost = this->options.host;
  this->Deliver(message);
}

void
AgreementModule::OnTick(MonotonicTime aNow)
{
  this->TakeCompletions();
  this->TakeReopened();
  this->ReopenFailed(aNow);
  this->forwarder.Tick();
  for (auto& [group, localGroup] : this->groups) {
    localGroup.replica->Tick();
    this->forwarder.ReportLeader(group, localGroup.replica->Status().leader);
  }
  this->ProcessMessages();
  for (auto& [group, localGroup] : this->groups) {
    localGroup.events->Update(group);
    this->RegisterFormation(group, localGroup);
  }
}

void
AgreementModule::OnShutdown()
{
  for (auto& [group, localGroup] : this->groups) {
    localGroup.replica->TransferLeadership();
  }
}

void
AgreementModule::TakeCompletions()
{
  for (const WriteCompletion& completion : this->writer.TakeCompletions()) {
    GroupReplica& replica = *this->groups.at(completion.group).replica;
    if (completion.failure) {
      replica.Stop(*completion.failure);
    } else {
      replica.OnPersisted(completion.number);
    }
  }
}

void
AgreementModule::ProcessMessages()
{
  bool moved = true;
  while (moved) {
    moved = this->SendProposals();
    for (auto& [group, localGroup] : this->groups) {
      moved |= this->ProcessGroupActions(group, localGroup);
    }
    while (!this->toSelf.empty()) {
      const AgreementMessage message = std::move(this->toSelf.front());
      this->toSelf.pop_front();
      this->Deliver(message);
      moved = true;
    }
  }
}

bool
AgreementModule::ProcessGroupActions(const GroupId& aGroup, LocalGroup& aLocalGroup)
{
  GroupActions actions = aLocalGroup.replica->TakeActions();
  const bool moved = actions.persist.has_value() || !actions.messages.empty();
  if (actions.persist) {
    this->writer.Write(aGroup, std::move(*actions.persist));
  }
  for (AgreementMessage& message : actions.messages) {
    this->Send(std::move(message));
  }
  return moved;
}

bool
AgreementModule::SendProposals()
{
  std::vector<AgreementMessage> messages = this->forwarder.TakeMessages();
  for (AgreementMessage& message : messages) {
    this->Send(std::move(message));
  }
  return !messages.empty();
}

void
AgreementModule::Send(AgreementMessage aMessage)
{
  if (aMessage.toHost == this->options.host) {
    this->toSelf.push_back(std::move(aMessage));
    return;
  }
  PeerMessage message{
    Channel::Agreement, aMessage.group, EncodeAgreementMessage(aMessage), StreamOf(aMessage)
  };
  this->options.peers.Send(aMessage.toHost, std::move(message));
}

void
AgreementModule::Deliver(const AgreementMessage& aMessage)
{
  const bool forForwarder = std::holds_alternative<ProposalAnswer>(aMessage.body) ||
                            std::holds_alternative<ProposalRefusal>(aMessage.body);
  if (forForwarder) {
    this->forwarder.Receive(aMessage);
    return;
  }
  const auto found = this->groups.find(aMessage.group);
  if (found != this->groups.end()) {
    found->second.replica->Receive(aMessage);
  }
}

// The leader of a claims group asks the control group for the incarnation that it leads, and then
// commits it to the claims group.
void
AgreementModule::RegisterFormation(const GroupId& aGroup, LocalGroup& aLocalGroup)
{
  const bool known = aLocalGroup.incarnation == nullptr ||
                     aLocalGroup.incarnation->Current().incarnation != Incarnation();
  if (known || aLocalGroup.registering || !aLocalGroup.replica->Core().LeaseHeld()) {
    return;
  }
  aLocalGroup.registering = true;
  this->Propose(ControlGroupId(),
                StateMachineId::Groups,
                EncodeRegistration(aGroup, aLocalGroup.replica->Core().Formation()),
                kRegistrationTimeout,
                [this, aGroup](const Result<std::string>& aAnswer) {
                  this->OnFormationRegistered(aGroup, aAnswer);
                });
}

void
AgreementModule::OnFormationRegistered(const GroupId& aGroup, const Result<std::string>& aAnswer)
{
  const auto registered =
    aAnswer ? DecodeGroupIncarnation(aAnswer.value()) : Result<GroupIncarnation>(aAnswer.error());
  if (!registered || registered.value().incarnation == Incarnation()) {
    this->groups.at(aGroup).registering = false;
    return;
  }
  LogEvent(LogLevel::Info, "group_registered")
    .With("group", aGroup)
    .With("incarnation", registered.value().incarnation);
  this->Propose(aGroup,
                StateMachineId::Groups,
                aAnswer.value(),
                kRegistrationTimeout,
                [this, aGroup](const Result<std::string>& /*aDone*/) {
                  this->groups.at(aGroup).registering = false;
                });
}

} // namespace damasklink
