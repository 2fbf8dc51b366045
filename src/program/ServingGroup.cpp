#include "ServingGroup.h"

#include <algorithm>

#include "damasklink/transport/Log.h"

namespace damasklink {
namespace {

// Elections of a serving deployment: operators are answered within seconds, so a leader must be
// missed within one. Three heartbeats fit into the least election timeout, which two lost packets
// (200 ms each until they are sent again) do not exceed.
constexpr RaftTiming kServingTiming{ std::chrono::milliseconds(200),
                                     std::chrono::milliseconds(700),
                                     std::chrono::milliseconds(1400) };

// Voters: five bear two lost at once, three bear one. Odd, since an even one more bears no more.
constexpr std::size_t kMostVoters = 5;

// How long an operator's call waits for its commitment: operators move on after a second.
constexpr Duration kCommitPatience = std::chrono::milliseconds(2500);

// Between two attempts at a disk that refused a write: a full disk is full for seconds.
constexpr Duration kDiskPause = std::chrono::seconds(1);

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

struct ServingGroup::Answered
{
  explicit Answered(asio::io_context& aLoop)
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
  // The founders are exactly the seeds; later this host may be known by its greeting alone.
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
    kMostVoters,
    kDiskPause,
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
  this->nextOpening = this->clock.MonotonicNow() + kDiskPause;
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
  const auto answered = std::make_shared<Answered>(this->loop);
  this->agreement.Propose(ControlGroupId(),
                          StateMachineId::Serving,
                          EncodeServingCommand(aCommand),
                          kCommitPatience,
                          [answered](Result<std::string> aResult) {
                            answered->result = std::move(aResult);
                            answered->wake.cancel();
                          });
  this->Step();
  if (!answered->result) {
    co_await answered->wake.async_wait(kAsValue);
  }
  if (!*answered->result) {
    co_return Fail(answered->result->error());
  }
  auto standing = DecodeServingCommandResult(answered->result->value());
  if (standing && !standing.value().understood) {
    co_return Fail(ErrorKind::Internal,
                   "the replicated log did not understand the command",
                   "run the same program version on all control hosts");
  }
  co_return standing;
}

void
ServingGroup::OnPeerMessage(const HostId& aFrom, const PeerMessage& aMessage)
{
  this->agreement.OnPeerMessage(aFrom, aMessage);
  this->Step();
}

void
ServingGroup::HandOver()
{
  this->agreement.OnShutdown();
  this->Step();
}

const GroupReplica*
ServingGroup::Working() const
{
  const GroupReplica* replica = this->agreement.ReplicaOf(ControlGroupId());
  return replica == nullptr || replica->Failure() ? nullptr : replica;
}

bool
ServingGroup::HoldsLease() const
{
  const GroupReplica* replica = this->Working();
  return replica != nullptr && replica->Core().LeaseHeld();
}

bool
ServingGroup::HearsLeader() const
{
  const GroupReplica* replica = this->Working();
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
  const GroupReplica* replica = this->Working();
  if (replica == nullptr) {
    return OrderAuthority{};
  }
  return OrderAuthority{ replica->Core().LeaseHeld(),
                         this->settings.host,
                         FencingNumber(replica->Core().CurrentTerm().Value()) };
}

} // namespace damasklink
