#include "ServingGroup.h"

#include <algorithm>

#include "damasklink/transport/Log.h"

namespace damasklink {
namespace {

// Elections of a serving deployment. Operators are answered within seconds, so the loss of a leader
// must be detected within one. The minimum election timeout covers three heartbeats, and a delay by
// two lost packets, which are sent again after 200 ms each, does not exceed it.
constexpr RaftTiming kServingTiming{ std::chrono::milliseconds(200),
                                     std::chrono::milliseconds(700),
                                     std::chrono::milliseconds(1400) };

// Five voters tolerate the loss of two hosts, three of one. The number is odd, since one voter more
// would not tolerate more losses.
constexpr std::size_t kMaxVoters = 5;

// How long an operator's call waits until its command is committed. Operators move on after a
// second.
constexpr Duration kCommitTimeout = std::chrono::milliseconds(2500);

// Delay before a disk that refused a write is tried again: a full disk stays full for seconds.
constexpr Duration kDiskRetryDelay = std::chrono::seconds(1);

std::vector<PeerSettings>
DiskHosts(const std::vector<HostId>& aHosts)
{
  std::vector<PeerSettings> peers;
  for (const HostId& host : aHosts) {
    PeerSettings peer;
    peer.host = host;
    peer.disk = true;
    peers.push_back(std::move(peer));
  }
  return peers;
}

} // namespace

struct ServingGroup::PendingCommit
{
  explicit PendingCommit(asio::io_context& aLoop)
    : wake(aLoop, MonotonicTime::max())
  {
  }

  asio::steady_timer wake;
  std::optional<Result<std::string>> result;
};

ServingGroup::ServingGroup(asio::io_context& aLoop,
                           const Clock& aClock,
                           const ServingSettings& aSettings,
                           Metrics& aMetrics,
                           PeerSender& aPeers,
                           std::function<void()> aApplied)
  : loop(aLoop)
  , clock(aClock)
  , settings(aSettings)
  , applied(std::move(aApplied))
  , agreement(this->Setup(aMetrics, aPeers))
{
  this->agreement.AddMachine(ControlGroupId(), StateMachineId::Serving, this->machine);
}

AgreementOptions
ServingGroup::Setup(Metrics& aMetrics, PeerSender& aPeers)
{
  std::vector<HostId> hosts = this->settings.seeds;
  // A new group is formed by exactly the seeds. Later a host that is not a seed may be known from
  // its greeting only, so it adds itself here.
  const bool listed = std::find(hosts.begin(), hosts.end(), this->settings.host) != hosts.end();
  if (!listed && !this->settings.firstStart) {
    hosts.push_back(this->settings.host);
  }
  return AgreementOptions{
    this->clock,
    aMetrics,
    aPeers,
    [this] { asio::post(this->loop, [this] { this->Step(); }); },
    this->settings.host,
    this->settings.dataFolder,
    DiskHosts(hosts),
    { ControlGroupId() },
    kServingTiming,
    this->settings.firstStart,
    kMaxVoters,
    kDiskRetryDelay,
  };
}

Result<void>
ServingGroup::Open()
{
  this->nextOpening.reset();
  auto opened = this->agreement.Open();
  if (opened || opened.error().kind != ErrorKind::Storage) {
    return opened;
  }
  LogEvent(LogLevel::Warning, "data_folder_waits").With("error", opened.error());
  this->nextOpening = this->clock.MonotonicNow() + kDiskRetryDelay;
  return Success();
}

void
ServingGroup::Step()
{
  if (this->nextOpening && this->clock.MonotonicNow() >= *this->nextOpening) {
    if (auto opened = this->Open(); !opened) {
      this->folderFailure = opened.error();
    }
  }
  this->agreement.OnTick(this->clock.MonotonicNow());
  if (this->machine.Changes() != this->seenChanges) {
    this->seenChanges = this->machine.Changes();
    this->applied();
  }
}

Awaitable<Result<ServingCommandResult>>
ServingGroup::Commit(const ServingCommand& aCommand)
{
  const auto pending = std::make_shared<PendingCommit>(this->loop);
  this->agreement.Propose(ControlGroupId(),
                          StateMachineId::Serving,
                          EncodeServingCommand(aCommand),
                          kCommitTimeout,
                          [pending](Result<std::string> aResult) {
                            pending->result = std::move(aResult);
                            pending->wake.cancel();
                          });
  this->Step();
  if (!pending->result) {
    co_await pending->wake.async_wait(kAsValue);
  }
  if (!*pending->result) {
    co_return Fail(pending->result->error());
  }
  auto result = DecodeServingCommandResult(pending->result->value());
  if (result && !result.value().understood) {
    co_return Fail(ErrorKind::Internal,
                   "the replicated state machine did not understand the command",
                   "run the same program version on all control hosts");
  }
  co_return result;
}

void
ServingGroup::OnPeerMessage(const HostId& aFrom, const PeerMessage& aMessage)
{
  this->agreement.OnPeerMessage(aFrom, aMessage);
  this->Step();
}

void
ServingGroup::TransferLeadership()
{
  this->agreement.OnShutdown();
  this->Step();
}

const GroupReplica*
ServingGroup::WorkingReplica() const
{
  const GroupReplica* replica = this->agreement.ReplicaOf(ControlGroupId());
  return replica == nullptr || replica->Failure() ? nullptr : replica;
}

bool
ServingGroup::HoldsLease() const
{
  const GroupReplica* replica = this->WorkingReplica();
  return replica != nullptr && replica->Core().LeaseHeld();
}

bool
ServingGroup::HasRecentLeader() const
{
  const GroupReplica* replica = this->WorkingReplica();
  return replica != nullptr && replica->Core().HasRecentLeader();
}

std::vector<HostId>
ServingGroup::Members() const
{
  std::vector<HostId> hosts;
  if (const GroupReplica* replica = this->agreement.ReplicaOf(ControlGroupId())) {
    for (const Member& member : replica->Core().Log().NewestMembership().members) {
      hosts.push_back(member.host);
    }
  }
  return hosts;
}

std::optional<Error>
ServingGroup::Failure() const
{
  return this->folderFailure ? this->folderFailure : this->agreement.FailureOf(ControlGroupId());
}

OrderAuthority
ServingGroup::Authority() const
{
  const GroupReplica* replica = this->WorkingReplica();
  if (replica == nullptr) {
    return OrderAuthority{};
  }
  return OrderAuthority{ replica->Core().LeaseHeld(),
                         this->settings.host,
                         FencingNumber(replica->Core().CurrentTerm().Value()) };
}

} // namespace damasklink
