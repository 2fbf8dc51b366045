#include "ClaimClient.h"

#include <algorithm>
#include <random>
#include <set>

#include <absl/strings/str_format.h>
#include <absl/time/time.h>

#include "damasklink/coordination/ClaimRefusal.h"
#include "damasklink/state/Text.h"
#include "damasklink/transport/Log.h"

namespace damasklink {
namespace {

// Above one election, so that the loss of a leader is waited out.
constexpr Duration kBeyondElection = std::chrono::seconds(1);
// How long the end of a run is offered to its group.
constexpr Duration kSettleTime = std::chrono::seconds(60);
// Beyond the longest run, for connecting and for the wait of the claim itself.
constexpr Duration kLeaseSlack = std::chrono::seconds(10);
constexpr Duration kHomeComeBack = std::chrono::seconds(1);
// A traffic thread gives up on its own when the control thread does not come back by then.
constexpr Duration kControlSlack = std::chrono::milliseconds(500);

// Zones with a disk host; with no disk anywhere, all zones.
std::vector<ZoneId>
ClaimZones(const HostSettings& aSettings)
{
  std::set<ZoneId> withDisk;
  std::set<ZoneId> all;
  for (const PeerSettings& peer : aSettings.peers) {
    all.insert(peer.zone);
    if (peer.disk) {
      withDisk.insert(peer.zone);
    }
  }
  const std::set<ZoneId>& zones = withDisk.empty() ? all : withDisk;
  return { zones.begin(), zones.end() };
}

std::string
RandomText()
{
  std::random_device device;
  return absl::StrFormat("%08x%08x%08x%08x", device(), device(), device(), device());
}

Error
HomeSilent(const ZoneId& aHome)
{
  return Error{ ErrorKind::Unavailable,
                Concat("zone '", aHome.Value(), "', which keeps this key, did not answer in time"),
                "try again shortly with the same key" };
}

} // namespace

ClaimTicket::ClaimTicket(ClaimClient& aGate,
                         ZoneId aHome,
                         ClaimCommand aCommand,
                         const DispatchRecord& aRecord,
                         MonotonicTime aLeaseEnd)
  : gate(aGate)
  , home(std::move(aHome))
  , command(std::move(aCommand))
  , record(aRecord)
  , leaseEnd(aLeaseEnd)
{
}

ClaimTicket::~ClaimTicket()
{
  if (this->settled) {
    return;
  }
  const bool nothingRan = this->record.Outcome() == RunOutcome::NotRun;
  this->command.verb = nothingRan ? ClaimVerb::Release : ClaimVerb::Abandon;
  this->gate.Settle(this->home, std::move(this->command));
}

void
ClaimTicket::Finish(std::optional<KeptAnswer> aAnswer)
{
  this->settled = true;
  this->command.verb = ClaimVerb::Finish;
  if (aAnswer && aAnswer->body.size() <= this->gate.MaxKeptAnswer().Value()) {
    this->command.answer = std::move(aAnswer);
  }
  this->gate.Settle(this->home, std::move(this->command));
}

// Shared by the traffic thread that waits and the control thread that answers.
struct ClaimClient::Waiter
{
  absl::Mutex mutex;
  std::optional<ProposalOutcome> end ABSL_GUARDED_BY(mutex);
  // The traffic thread has gone; a late grant must be given back.
  bool left ABSL_GUARDED_BY(mutex) = false;
};

ClaimClient::ClaimClient(const HostContext& aContext, Replicator& aGroups)
  : context(aContext)
  , groups(aGroups)
  , zones(ClaimZones(aContext.settings))
  , retrier(aContext.clock, aGroups, ProposalRetrier::Options())
{
}

void
ClaimClient::Start()
{
  for (const ZoneId& zone : this->zones) {
    this->groups.AddMachine(ClaimsGroupId(zone), StateMachineId::Claims, this->machines[zone]);
  }
  this->context.control.Add(Channel::Claims, *this);
}

ClaimResult
ClaimClient::Enter(const KeyedCall& aCall, DispatchRecord& aRecord)
{
  ClaimResult entrance;
  const auto refuse = [&](Error aError, std::optional<Duration> aRetryAfter) {
    entrance.refusal = CallerError{ std::move(aError), aRecord.Outcome(), aRetryAfter };
    return std::move(entrance);
  };
  ZoneId home;
  auto command = this->MakeClaim(aCall, home);
  if (!command) {
    return refuse(command.error(), std::nullopt);
  }
  const MonotonicTime asked = this->context.clock.MonotonicNow();
  auto reply = this->Ask(home, command.value(), aCall.wait);
  const MetricKey series{ aCall.workspace, "" };
  this->context.metrics.Observe(
    Sample::ClaimWait, series, this->context.clock.MonotonicNow() - asked);
  if (!reply) {
    return refuse(reply.error(), kHomeComeBack);
  }
  const bool granted = reply.value().verdict == ClaimVerdict::Granted;
  this->context.metrics.Add(granted ? Counter::ClaimsTaken : Counter::ClaimsRepeated, series, 1);
  if (granted) {
    const MonotonicTime leaseEnd = asked + command.value().lease;
    entrance.ticket =
      std::make_unique<ClaimTicket>(*this, home, std::move(command.value()), aRecord, leaseEnd);
    return entrance;
  }
  if (reply.value().verdict == ClaimVerdict::Kept && reply.value().answer) {
    entrance.kept = std::move(reply.value().answer);
    return entrance;
  }
  const ClaimRefusal refusal = RefusalOf(reply.value());
  aRecord.AddEarlierOutcome(refusal.earlier);
  return refuse(refusal.error, refusal.retryAfter);
}

Result<ClaimCommand>
ClaimClient::MakeClaim(const KeyedCall& aCall, ZoneId& aHome) const
{
  auto origin = ReadKeyOrigin(aCall.workspace, aCall.key);
  if (!origin) {
    return Fail(origin.error());
  }
  auto home = this->HomeOf(aCall, origin.value());
  if (!home) {
    return Fail(home.error());
  }
  aHome = home.value();
  ClaimCommand command;
  command.verb = ClaimVerb::Claim;
  command.workspace = aCall.workspace;
  command.key = aCall.key;
  command.attempt = aCall.attempt;
  command.body = aCall.body;
  command.createdAt = origin.value().createdAt;
  command.retention = this->context.settings.timeouts.keyRetention;
  command.lease = aCall.longestRun + kLeaseSlack;
  return command;
}

Result<ZoneId>
ClaimClient::HomeOf(const KeyedCall& aCall, const KeyOrigin& aOrigin) const
{
  if (!aOrigin.home) {
    return RendezvousHome(aCall.workspace, aCall.key, this->zones);
  }
  if (std::find(this->zones.begin(), this->zones.end(), *aOrigin.home) == this->zones.end()) {
    return Fail(ErrorKind::InvalidArgument,
                Concat("the key names zone '", aOrigin.home->Value(), "', which keeps no keys"),
                "send a key from POST /v1/keys of this system");
  }
  return *aOrigin.home;
}

Result<ClaimReply>
ClaimClient::Ask(const ZoneId& aHome, const ClaimCommand& aCommand, Duration aWait)
{
  const Duration bound = this->context.settings.timeouts.electionMost + kBeyondElection;
  const Duration wait = std::min(aWait, bound);
  const MonotonicTime deadline = this->context.clock.MonotonicNow() + wait;
  auto waiter = std::make_shared<Waiter>();
  const bool posted = this->context.control.Post([this, waiter, aHome, aCommand, deadline] {
    this->retrier.Start(
      Proposal{
        ClaimsGroupId(aHome), StateMachineId::Claims, EncodeClaimCommand(aCommand), deadline },
      [=, this](ProposalOutcome aEnd) {
        this->OnClaimAnswered(waiter, aHome, aCommand, std::move(aEnd));
      });
  });
  if (!posted) {
    return Fail(ErrorKind::Overloaded, "the control thread is behind", "try again shortly");
  }
  absl::MutexLock lock(&waiter->mutex);
  const auto answered = [&]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(waiter->mutex) {
    return waiter->end.has_value();
  };
  const absl::Duration longest = absl::FromChrono(wait + kControlSlack);
  if (!waiter->mutex.AwaitWithTimeout(absl::Condition(&answered), longest)) {
    waiter->left = true;
    return Fail(HomeSilent(aHome));
  }
  if (!waiter->end->reply) {
    return Fail(HomeSilent(aHome));
  }
  return DecodeClaimReply(waiter->end->reply.value());
}

void
ClaimClient::OnClaimAnswered(const std::shared_ptr<Waiter>& aWaiter,
                             const ZoneId& aHome,
                             const ClaimCommand& aCommand,
                             ProposalOutcome aEnd)
{
  bool giveBack = aEnd.mayBeApplied;
  {
    absl::MutexLock lock(&aWaiter->mutex);
    // Whoever has left dispatched nothing, so even a grant goes back.
    giveBack = giveBack || (aWaiter->left && aEnd.reply);
    aWaiter->end = std::move(aEnd);
  }
  if (giveBack) {
    ClaimCommand release = aCommand;
    release.verb = ClaimVerb::Release;
    ++this->unsettled;
    this->ProposeSettlement(aHome, release);
  }
}

IdempotencyKey
ClaimClient::Mint(const WorkspaceId& aWorkspace)
{
  const ZoneId& own = this->context.settings.zone;
  const bool homesClaims = std::find(this->zones.begin(), this->zones.end(), own) != zones.end();
  const ZoneId home =
    homesClaims ? own : RendezvousHome(aWorkspace, IdempotencyKey(own.Value()), this->zones);
  return MintKey(aWorkspace, home, this->context.clock.WallNow(), RandomText());
}

void
ClaimClient::Settle(const ZoneId& aHome, ClaimCommand aCommand)
{
  ++this->unsettled;
  const bool posted = this->context.control.Post(
    [this, aHome, command = std::move(aCommand)] { this->ProposeSettlement(aHome, command); });
  if (!posted) {
    // The claim's lease ends by itself, and the key then counts as one that may have run.
    --this->unsettled;
    LogEvent(LogLevel::Warning, "claim_not_settled").With("home", aHome);
  }
}

void
ClaimClient::ProposeSettlement(const ZoneId& aHome, const ClaimCommand& aCommand)
{
  const MonotonicTime deadline = this->context.clock.MonotonicNow() + kSettleTime;
  this->retrier.Start(
    Proposal{
      ClaimsGroupId(aHome), StateMachineId::Claims, EncodeClaimCommand(aCommand), deadline },
    [this, aHome](const ProposalOutcome& aEnd) {
      --this->unsettled;
      if (!aEnd.reply) {
        LogEvent(LogLevel::Warning, "claim_not_settled")
          .With("home", aHome)
          .With("error", aEnd.reply.error());
      }
    });
}

void
ClaimClient::OnPeerMessage(const HostId& /*aFrom*/, const PeerMessage& /*aMessage*/)
{
}

void
ClaimClient::OnTick(MonotonicTime aNow)
{
  this->retrier.OnTick(aNow);
}

} // namespace damasklink
