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

// Added to the longest election, so that a claim survives the loss of a leader.
constexpr Duration kElectionSlack = std::chrono::seconds(1);
// How long a settlement is retried.
constexpr Duration kSettleTimeout = std::chrono::seconds(60);
// Added to the time limit of the run for the lease: for connecting and for the wait for the claim.
constexpr Duration kLeaseSlack = std::chrono::seconds(10);
constexpr Duration kHomeRetryAfter = std::chrono::seconds(1);
// How long after the deadline of the proposal a traffic thread still waits for the control thread.
constexpr Duration kControlSlack = std::chrono::milliseconds(500);

// Returns the zones that have a host with a disk, or all zones when no host has one.
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
HomeTimeout(const ZoneId& aHome)
{
  return Error{ ErrorKind::Unavailable,
                Concat("zone '", aHome.Value(), "', which keeps this key, did not answer in time"),
                "try again shortly with the same key" };
}

} // namespace

ClaimTicket::ClaimTicket(ClaimClient& aClient,
                         ZoneId aHome,
                         ClaimCommand aCommand,
                         const DispatchRecord& aRecord,
                         MonotonicTime aLeaseEnd)
  : client(aClient)
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
  this->client.Settle(this->home, std::move(this->command));
}

void
ClaimTicket::Finish(std::optional<KeptAnswer> aAnswer)
{
  this->settled = true;
  this->command.verb = ClaimVerb::Finish;
  if (aAnswer && aAnswer->body.size() <= this->client.MaxKeptAnswer().Value()) {
    this->command.answer = std::move(aAnswer);
  }
  this->client.Settle(this->home, std::move(this->command));
}

// Shared by the traffic thread that waits for a claim and the control thread that gets the answer.
struct ClaimClient::Waiter
{
  absl::Mutex mutex;
  std::optional<ProposalOutcome> outcome ABSL_GUARDED_BY(mutex);
  // The traffic thread has stopped waiting; a late grant must be released.
  bool abandoned ABSL_GUARDED_BY(mutex) = false;
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
ClaimClient::Claim(const KeyedCall& aCall, DispatchRecord& aRecord)
{
  ClaimResult result;
  const auto refuse = [&](Error aError, std::optional<Duration> aRetryAfter) {
    result.refusal = CallerError{ std::move(aError), aRecord.Outcome(), aRetryAfter };
    return std::move(result);
  };
  ZoneId home;
  auto command = this->MakeClaim(aCall, home);
  if (!command) {
    return refuse(command.error(), std::nullopt);
  }
  const MonotonicTime start = this->context.clock.MonotonicNow();
  auto reply = this->Ask(home, command.value(), aCall.wait);
  const MetricKey series{ aCall.workspace, "" };
  this->context.metrics.Observe(
    Sample::ClaimWait, series, this->context.clock.MonotonicNow() - start);
  if (!reply) {
    return refuse(reply.error(), kHomeRetryAfter);
  }
  const bool granted = reply.value().verdict == ClaimVerdict::Granted;
  this->context.metrics.Add(granted ? Counter::ClaimsTaken : Counter::ClaimsRepeated, series, 1);
  if (granted) {
    const MonotonicTime leaseEnd = start + command.value().lease;
    result.ticket =
      std::make_unique<ClaimTicket>(*this, home, std::move(command.value()), aRecord, leaseEnd);
    return result;
  }
  if (reply.value().verdict == ClaimVerdict::Kept && reply.value().answer) {
    result.kept = std::move(reply.value().answer);
    return result;
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
  command.lease = aCall.maxRunTime + kLeaseSlack;
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
  const Duration bound = this->context.settings.timeouts.electionMost + kElectionSlack;
  const Duration wait = std::min(aWait, bound);
  const MonotonicTime deadline = this->context.clock.MonotonicNow() + wait;
  auto waiter = std::make_shared<Waiter>();
  const bool posted = this->context.control.Post([this, waiter, aHome, aCommand, deadline] {
    this->retrier.Start(
      Proposal{
        ClaimsGroupId(aHome), StateMachineId::Claims, EncodeClaimCommand(aCommand), deadline },
      [=, this](ProposalOutcome aOutcome) {
        this->OnClaimAnswered(waiter, aHome, aCommand, std::move(aOutcome));
      });
  });
  if (!posted) {
    return Fail(ErrorKind::Overloaded, "the control thread is overloaded", "try again shortly");
  }
  absl::MutexLock lock(&waiter->mutex);
  const auto answered = [&]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(waiter->mutex) {
    return waiter->outcome.has_value();
  };
  const absl::Duration timeout = absl::FromChrono(wait + kControlSlack);
  if (!waiter->mutex.AwaitWithTimeout(absl::Condition(&answered), timeout)) {
    waiter->abandoned = true;
    return Fail(HomeTimeout(aHome));
  }
  if (!waiter->outcome->reply) {
    return Fail(HomeTimeout(aHome));
  }
  return DecodeClaimReply(waiter->outcome->reply.value());
}

void
ClaimClient::OnClaimAnswered(const std::shared_ptr<Waiter>& aWaiter,
                             const ZoneId& aHome,
                             const ClaimCommand& aCommand,
                             ProposalOutcome aOutcome)
{
  bool release = aOutcome.mayBeApplied;
  {
    absl::MutexLock lock(&aWaiter->mutex);
    // A thread that stopped waiting has dispatched nothing, so its grant can be released.
    release = release || (aWaiter->abandoned && aOutcome.reply);
    aWaiter->outcome = std::move(aOutcome);
  }
  if (release) {
    ClaimCommand command = aCommand;
    command.verb = ClaimVerb::Release;
    ++this->pendingSettlements;
    this->ProposeSettlement(aHome, command);
  }
}

IdempotencyKey
ClaimClient::Mint(const WorkspaceId& aWorkspace)
{
  const ZoneId& own = this->context.settings.zone;
  const bool hasClaims = std::find(this->zones.begin(), this->zones.end(), own) != zones.end();
  const ZoneId home =
    hasClaims ? own : RendezvousHome(aWorkspace, IdempotencyKey(own.Value()), this->zones);
  return MintKey(aWorkspace, home, this->context.clock.WallNow(), RandomText());
}

void
ClaimClient::Settle(const ZoneId& aHome, ClaimCommand aCommand)
{
  ++this->pendingSettlements;
  const bool posted = this->context.control.Post(
    [this, aHome, command = std::move(aCommand)] { this->ProposeSettlement(aHome, command); });
  if (!posted) {
    // The lease of the claim expires, and the call then counts as one that may have run.
    --this->pendingSettlements;
    LogEvent(LogLevel::Warning, "claim_not_settled").With("home", aHome);
  }
}

void
ClaimClient::ProposeSettlement(const ZoneId& aHome, const ClaimCommand& aCommand)
{
  const MonotonicTime deadline = this->context.clock.MonotonicNow() + kSettleTimeout;
  this->retrier.Start(
    Proposal{
      ClaimsGroupId(aHome), StateMachineId::Claims, EncodeClaimCommand(aCommand), deadline },
    [this, aHome](const ProposalOutcome& aOutcome) {
      --this->pendingSettlements;
      if (!aOutcome.reply) {
        LogEvent(LogLevel::Warning, "claim_not_settled")
          .With("home", aHome)
          .With("error", aOutcome.reply.error());
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
