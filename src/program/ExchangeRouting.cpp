// Target selection, admission and transfer of prompt parts of an Exchange. The rest of the class is
// in Exchange.cpp and ExchangeReporting.cpp.
#include "Exchange.h"

#include <algorithm>
#include <iterator>

#include "damasklink/state/Units.h"
#include "damasklink/transport/Log.h"

namespace damasklink {
namespace {

// Limits beyond which a call of one priority is refused at once. When an engine's memory is full,
// requests wait and cached parts are evicted; these must be prefilled again, which makes requests
// run longer. Lower limits for lower priorities refuse long, less urgent prompts before that
// happens, so that short urgent ones still run.
struct AdmissionLimits
{
  // Longest expected wait behind other calls, as a multiple of the latency objective. The call's
  // own prefill does not count, so that a long prompt is not refused for its size.
  double patience;
  // Share of the engine's memory that requests may fill, this one included.
  double memory;
};

constexpr AdmissionLimits kHighPriorityLimits{ 1.4, 1.2 };
constexpr AdmissionLimits kNormalPriorityLimits{ 1.1, 1.0 };
constexpr AdmissionLimits kLowPriorityLimits{ 0.85, 0.75 };

// Share of the memory that routes may fill beyond those of the next lower priority, within one
// priority of a workspace. Routes of kLowestPriority and below have the limit of the workspace.
constexpr double kMemoryStep = 0.1;
constexpr int kLowestPriority = 2;

// A call that can't meet its objective any more leaves the places before it to others.
constexpr int kLateQueueing = 2;

const AdmissionLimits&
LimitsOf(int aPriority)
{
  if (aPriority == 0) {
    return kHighPriorityLimits;
  }
  return aPriority == 1 ? kNormalPriorityLimits : kLowPriorityLimits;
}

// Callers abandon a stream without an event after the longest of: kMinCallerPatience, this many
// latency objectives, and this many pause objectives (longest pause between events).
constexpr Duration kMinCallerPatience = std::chrono::seconds(2);
constexpr int kCallerPatienceObjectives = 4;
constexpr int kCallerPatiencePauses = 8;

// Longest time in which a new leader takes over, also after a restart of all control hosts. Newer
// weights are on their way again then.
constexpr Duration kMaxLeaderChange = std::chrono::seconds(5);

// Added to the time for which a caller may resume its stream, as it counts that time itself.
constexpr Duration kOriginMargin = std::chrono::seconds(1);

// The lookup of a stream's origin may take this part of the time that is left.
constexpr int kOriginLookupShare = 3;

// Returns whether all streams of the route begin at the same service.
bool
HasOneService(const ServingRoute& aRoute)
{
  return std::count_if(aRoute.shares.begin(), aRoute.shares.end(), [](const ServiceShare& aShare) {
           return aShare.weight > 0;
         }) == 1;
}

} // namespace

// Returns the scope of the call's parts under the newest configuration: workspaces may have become
// isolated while the call waited.
PartScope
Exchange::MakePartScope(std::uint64_t aWeights) const
{
  const std::shared_ptr<const RouteTable>& newest = this->context.state.Routes();
  PartScope made{ this->call.model, aWeights, WorkspaceId(), this->allowedRegions.Text(), "" };
  if (this->workspace != nullptr) {
    const WorkspaceEntry* current = newest->FindWorkspace(this->call.key);
    // A workspace whose key is gone may be isolated by now.
    const bool known = current != nullptr && current->name == this->workspace->name;
    const bool isolated = this->workspace->isolated || !known || current->isolated;
    made.isolatedWorkspace = isolated ? this->workspace->name : WorkspaceId();
  }
  if (made.isolatedWorkspace.Empty()) {
    made.isolationDigest = newest->IsolationDigest();
  }
  return made;
}

// Fills the selection request for targets with this version of weights. Part keys depend on the
// scope of the parts, which contains the weights.
void
Exchange::PrepareSelection(std::uint64_t aWeights)
{
  this->weights = aWeights;
  this->selection.model = this->call.model;
  this->selection.weights = aWeights;
  this->selection.promptTokens = this->call.promptTokens;
  const ServingService* service = this->routes->Config().FindService(this->service);
  if (service != nullptr && service->engine) {
    this->selection.cacheTokens = service->engine->cacheTokens;
  }
  this->selection.parts.clear();
  this->selection.stored.clear();
  this->scope = CacheScope(FormatPartScope(this->MakePartScope(aWeights)));
  // The last part is specific to this call, so no other call could reuse it.
  for (std::size_t index = 0; index + 1 < this->call.parts.size(); ++index) {
    const PromptPart& part = this->call.parts[index];
    const PartKey key = MakePartKey(this->scope.Value(), part.id.Value());
    this->selection.parts.push_back(SizedPart{ key, part.tokens });
  }
  const StoredPartIndex* stored = this->context.state.Stored();
  if (stored == nullptr) {
    return;
  }
  this->avoidedStores.clear();
  double prefillTime = 0;
  for (const SizedPart& part : this->selection.parts) {
    prefillTime += this->context.picker.LatencyModelOf(this->call.model).MillisecondsPerToken() *
                   static_cast<double>(part.tokens.Value());
  }
  for (const std::string& store : stored->StoreNames()) {
    if (!this->context.slowStores.ShouldFetch(store, prefillTime)) {
      this->avoidedStores.insert(store);
    }
  }
  for (const SizedPart& part : this->selection.parts) {
    const PromptStore* source = stored->Find(part, this->selection.zone, this->avoidedStores);
    this->selection.stored.push_back(
      source == nullptr ? std::nullopt
                        : std::optional(PartSource{ source->traits.zone,
                                                    stored->TransferTime(*source, part.tokens) }));
  }
}

const std::vector<TargetRecord>&
Exchange::Targets()
{
  const std::vector<TargetRecord>& usable = this->context.state.Targets().Usable(this->service);
  if (!this->allowedRegions.IsRestricted() && !this->begunOn) {
    return usable;
  }
  this->eligibleTargets.clear();
  std::copy_if(usable.begin(),
               usable.end(),
               std::back_inserter(this->eligibleTargets),
               [this](const TargetRecord& aTarget) {
                 const bool continues = !this->begunOn || *this->begunOn == aTarget.software;
                 return continues && this->allowedRegions.Allows(aTarget.zone);
               });
  return this->eligibleTargets;
}

Awaitable<std::optional<CallerError>>
Exchange::ResolveOrigin()
{
  const bool resumes = this->route->kind == CallKind::Streaming && this->call.lastEvent;
  if (!resumes || this->begunOn) {
    co_return std::nullopt;
  }
  const MonotonicTime start = this->context.clock.MonotonicNow();
  std::optional<StreamKey> stream;
  if (!this->call.resumes.Empty()) {
    stream = StreamKeyOf(this->call.resumes);
  }
  const std::optional<StreamOrigin> origin = co_await this->context.originResolver.Resolve(
    stream, this->service, this->TimeLeft() / kOriginLookupShare);
  const bool recorded = origin && origin->stream != StreamKey();
  // Without a record the service is only that of the new request.
  const bool certain =
    recorded || (origin && HasOneService(*this->route) && this->HasOnlyVersion(origin->software));
  const bool continues = certain && this->MayContinueAt(origin->service);
  LogEvent(LogLevel::Info, "stream_origin")
    .With("request", this->call.request)
    .With("resumes", this->call.resumes)
    .With("known", origin.has_value())
    .With("recorded", recorded)
    .With("service", origin ? origin->service : this->service)
    .With("software", origin ? origin->software : SoftwareVersion())
    .With("continues", continues)
    .With("took_ms", WholeMilliseconds(this->context.clock.MonotonicNow() - start));
  if (!continues) {
    const Error unknown{ ErrorKind::Unavailable,
                         "the software version that began the stream is not known",
                         "begin the stream anew" };
    co_return CallerError{ unknown, RunOutcome::NotRun, std::nullopt };
  }
  this->service = origin->service;
  this->begunOn = origin->software;
  co_return std::nullopt;
}

// A route may be split among several services. Events of two services do not fit together either.
bool
Exchange::MayContinueAt(const ServiceName& aService) const
{
  return std::any_of(
    this->route->shares.begin(), this->route->shares.end(), [&](const ServiceShare& aShare) {
      return aShare.service == aService && aShare.weight > 0;
    });
}

// Returns whether this host, too, knows of no target with another version.
bool
Exchange::HasOnlyVersion(const SoftwareVersion& aSoftware) const
{
  const std::vector<TargetRecord>& targets = this->context.state.Targets().Usable(this->service);
  return std::all_of(targets.begin(), targets.end(), [&](const TargetRecord& aTarget) {
    return aTarget.software == aSoftware;
  });
}

void
Exchange::RecordOrigin()
{
  if (!this->route->resumable) {
    return;
  }
  const RequestId& first =
    this->call.resumes.Empty() || !this->call.lastEvent ? this->call.request : this->call.resumes;
  const Duration patience = this->call.timeout.value_or(this->route->timeout);
  const Duration elapsed = this->context.clock.MonotonicNow() - this->arrived;
  const bool recorded = this->context.origins.Add(StreamOrigin{
    StreamKeyOf(first), this->service, *this->begunOn, patience - elapsed + kOriginMargin });
  if (!recorded) {
    LogEvent(LogLevel::Warning, "stream_origin_not_kept")
      .With("request", this->call.request)
      .With("kept", this->context.origins.Size());
  }
}

// Returns the newest version of weights that was announced or that a target has, 0 if none is
// known.
std::uint64_t
Exchange::NewestWeightVersion()
{
  std::uint64_t newest = this->context.state.WeightVersionOf(this->call.model);
  for (const TargetRecord& target : this->Targets()) {
    newest = std::max(newest, WeightsOf(target, this->call.model));
  }
  return newest;
}

void
Exchange::UpdateRateLimited()
{
  this->selection.rateLimited.clear();
  if (!this->context.limits.IsEmpty()) {
    for (const TargetRecord& target : this->Targets()) {
      if (!this->context.limits.MaySend(target.id)) {
        this->selection.rateLimited.insert(target.id);
      }
    }
  }
  if (this->context.brittle.IsBrittle(this->service)) {
    this->ExcludeFull();
  }
  if (this->HasOpenConnections()) {
    this->ExcludeUnconnected();
  }
}

void
Exchange::ExcludeFull()
{
  const std::uint64_t hosts = this->HostsPerTarget();
  for (const TargetRecord& target : this->Targets()) {
    const std::uint64_t load = this->context.picker.LoadOf(target.id).requests;
    if (!this->context.brittle.MaySend(target, load, hosts)) {
      this->selection.rateLimited.insert(target.id);
    }
  }
}

void
Exchange::ExcludeUnconnected()
{
  for (const TargetRecord& target : this->Targets()) {
    if (!this->context.pool.HasIdle(target.endpoint)) {
      this->selection.rateLimited.insert(target.id);
    }
  }
}

const TargetRecord*
Exchange::ChooseTarget()
{
  this->UpdateRateLimited();
  const bool hasPrompt = this->route->carriesPrompt && !this->call.model.Empty();
  if (hasPrompt) {
    this->PrepareSelection(this->NewestWeightVersion());
    this->selection.minWeights = this->context.state.WeightVersionOfAge(
      this->call.model, this->context.settings.weightsWithin - kMaxEngineQueueTime);
    // Without a leader nobody orders newer weights, and older ones are better than none.
    this->selection.neverBelowMinWeights =
      this->context.state.HadHealthyControlHost(kMaxLeaderChange);
  }
  const std::vector<TargetRecord>& targets = this->Targets();
  if (hasPrompt && !this->begunOn && this->context.crowded.contains(this->service)) {
    const TargetRecord* inTurn = this->ChooseInTurn(targets);
    // Without any target that takes calls, waiting for room would be in vain.
    this->overloaded =
      inTurn == nullptr && (this->waitsForRoom || this->HasEligibleTarget(targets));
    return inTurn;
  }
  const TargetRecord* chosen = this->context.picker.Choose(this->selection, targets);
  if (!hasPrompt || chosen == nullptr || this->CanServeInTime(*chosen)) {
    this->overloaded = false;
    return chosen;
  }
  // Choose() compares only a sample of the targets. All are compared before a call is refused.
  this->PrepareSelection(this->NewestWeightVersion());
  this->selection.compareAll = true;
  chosen = this->context.picker.Choose(this->selection, targets);
  this->selection.compareAll = false;
  this->overloaded = chosen == nullptr || !this->CanServeInTime(*chosen);
  if (this->overloaded && chosen != nullptr && this->standby == nullptr) {
    this->LogOverload(*chosen);
  }
  return this->overloaded ? nullptr : chosen;
}

// Most targets are loaded, so that all hosts would send to the others at once. This host sends to a
// target in its turn only.
const TargetRecord*
Exchange::ChooseInTurn(const std::vector<TargetRecord>& aTargets)
{
  const double share = TargetTurns::ShareOf(this->HostsPerTarget(), aTargets.size());
  return this->context.picker.ChooseFitting(
    this->selection, aTargets, [this, share](const TargetRecord& aTarget) {
      // Few calls have the same last part, so they do not gather at the targets that hold it.
      const bool mayUse = this->context.turns.Has(aTarget.id, share) ||
                          this->context.picker.HoldsAllParts(this->selection, aTarget.id);
      return mayUse && WeightsOf(aTarget, this->call.model) == this->weights &&
             this->HasRoom(aTarget);
    });
}

bool
Exchange::HasEligibleTarget(const std::vector<TargetRecord>& aTargets)
{
  return this->context.picker.Choose(this->selection, aTargets) != nullptr;
}

// Returns the share of a target's memory that calls of this rank may fill.
double
Exchange::MemoryLimit() const
{
  const double limit = LimitsOf(this->Rank().workspace).memory;
  if (this->workspace == nullptr || !this->workspace->priority) {
    return limit;
  }
  const int route = std::clamp(this->route->priority, 0, kLowestPriority);
  return limit + kMemoryStep * (kLowestPriority - route);
}

bool
Exchange::FitsEmptyTarget() const
{
  const auto capacity = static_cast<double>(this->selection.cacheTokens.Value());
  const auto needed = static_cast<double>(this->selection.promptTokens.Value());
  return capacity == 0 || needed <= this->MemoryLimit() * capacity;
}

// Returns whether the call is expected to be served in time at the target, with what other hosts
// may have sent there in this turn.
bool
Exchange::HasRoom(const TargetRecord& aTarget) const
{
  const TargetSelector& picker = this->context.picker;
  const LoadCounts unseen = this->context.turns.Unseen(aTarget.id);
  const Duration wait = picker.ExpectedWait(this->selection, aTarget, unseen);
  const Duration own = picker.ExpectedFirstEvent(this->selection, aTarget) -
                       picker.ExpectedWait(this->selection, aTarget);
  return own + wait <= std::min(this->CallerPatience(), this->TimeLeft()) &&
         wait <= this->LongestQueueing(own, LimitsOf(this->Rank().workspace).patience) &&
         picker.MemoryShare(this->selection, aTarget.id, unseen) <= this->MemoryLimit();
}

// Returns how long the call may wait behind others at a target that needs aOwn for it alone. It may
// wait until its objective is lost; one that has lost it anyway may wait a part of the usual time.
Duration
Exchange::LongestQueueing(Duration aOwn, double aPatience) const
{
  const Duration objective = this->route->latencyObjective;
  const Duration elapsed = this->context.clock.MonotonicNow() - this->arrived;
  const auto usual = std::chrono::duration_cast<Duration>(objective * aPatience);
  const Duration left = objective - elapsed - aOwn;
  return left > Duration::zero() ? std::min(left, usual) : usual / kLateQueueing;
}

std::uint64_t
Exchange::HostsPerTarget() const
{
  const TargetDirectory& directory = this->context.state.Targets();
  return this->context.state.EntryHosts() / directory.SubsetCount(this->service);
}

// Open connections to targets may go on working while new ones fail, so they are used first.
Exchange::NextDestination
Exchange::ChooseDestination()
{
  if (this->HasOpenConnections()) {
    if (const TargetRecord* chosen = this->ChooseTarget()) {
      return NextDestination{ std::nullopt, chosen };
    }
  }
  if (std::optional<HostId> host = this->ChooseForwardingHost()) {
    return NextDestination{ std::move(host), nullptr };
  }
  // Connections would only fail once more. A probe finds out when that has changed.
  if (this->context.paths.IsUnreachable(this->service)) {
    return NextDestination{};
  }
  return NextDestination{ std::nullopt, this->ChooseTarget() };
}

bool
Exchange::StillTakesCalls(const TargetRecord& aTarget) const
{
  const bool known = this->context.state.Targets().Find(aTarget.id) != nullptr;
  return known && !this->context.rests.IsResting(aTarget.id, aTarget.incarnation);
}

// Returns whether the target is expected to serve the call in time, with the weights that it has.
bool
Exchange::CanServeInTime(const TargetRecord& aTarget)
{
  const std::uint64_t loaded = WeightsOf(aTarget, this->call.model);
  if (loaded != this->weights) {
    this->PrepareSelection(loaded);
  }
  return this->IsExpectedInTime(aTarget);
}

// A call is refused at once when it would wait behind others for longer than its limit, or when its
// caller would leave before the first event: the target's prefill for it would be wasted. More
// urgent calls have a higher limit, because targets run them ahead of others. A stream that has
// begun is only refused in the latter case: few targets may have its version, and new streams can
// begin at others.
bool
Exchange::IsExpectedInTime(const TargetRecord& aTarget) const
{
  const Duration expected = this->context.picker.ExpectedFirstEvent(this->selection, aTarget);
  const Duration wait = this->context.picker.ExpectedWait(this->selection, aTarget);
  const double memory = this->context.picker.MemoryShare(this->selection, aTarget.id);
  const AdmissionLimits& limits = LimitsOf(this->Rank().workspace);
  const Duration objective = this->route->latencyObjective;
  const bool inTime = expected <= std::min(this->CallerPatience(), this->TimeLeft());
  if (this->begunOn) {
    return inTime;
  }
  return inTime && wait <= objective * limits.patience && memory <= limits.memory;
}

Duration
Exchange::CallerPatience() const
{
  return std::max({ kMinCallerPatience,
                    this->route->latencyObjective * kCallerPatienceObjectives,
                    this->route->pauseObjective * kCallerPatiencePauses });
}

void
Exchange::LogOverload(const TargetRecord& aBest) const
{
  const TargetSelector& picker = this->context.picker;
  const AdmissionLimits& limits = LimitsOf(this->Rank().workspace);
  LogEvent(LogLevel::Info, "refused_as_overloaded")
    .With("request", this->call.request)
    .With("best_target", aBest.id)
    .With("wait_ms", WholeMilliseconds(picker.ExpectedWait(this->selection, aBest)))
    .With("expected_ms", WholeMilliseconds(picker.ExpectedFirstEvent(this->selection, aBest)))
    .With("objective_ms", WholeMilliseconds(this->route->latencyObjective))
    .With("patience", limits.patience)
    .With("memory", picker.MemoryShare(this->selection, aBest.id))
    .With("most_memory", limits.memory)
    .With("to_read", picker.UncachedTokens(this->selection, aBest.id))
    .With("weights", this->weights);
}

CallRank
Exchange::Rank() const
{
  return RankOf(*this->route, this->workspace);
}

TargetCall
Exchange::CallFor(const TargetRecord& aTarget)
{
  TargetCall call;
  call.target = aTarget.id;
  call.timeLeft = this->TimeLeft();
  call.priority = this->Rank().workspace;
  if (this->workspace != nullptr) {
    call.workspace = this->workspace->name;
  }
  call.lastEvent = this->framer.LastEvent() ? this->framer.LastEvent() : this->call.lastEvent;
  if (this->route->carriesPrompt && !this->scope.Empty()) {
    call.scope = this->scope;
    if (this->weights > 0) {
      call.weights = this->weights;
    }
    this->AddPartTransfers(aTarget, call);
  }
  return call;
}

// Adds hints that tell the target where to fetch leading parts that it lacks (from a store, else
// from a target that should have them cached) and which store to save parts to that none has.
void
Exchange::AddPartTransfers(const TargetRecord& aTarget, TargetCall& aTo)
{
  this->fetchedFrom.clear();
  const StoredPartIndex* stored = this->context.state.Stored();
  if (stored == nullptr || this->selection.parts.empty()) {
    return;
  }
  aTo.fetches.resize(this->call.parts.size());
  aTo.saves.resize(this->call.parts.size());
  // Whether all parts before this one can be fetched.
  bool leading = true;
  TokenCount largest;
  for (std::size_t index = 0; index < this->selection.parts.size(); ++index) {
    const SizedPart& part = this->selection.parts[index];
    const PromptStore* source = stored->Find(part, aTarget.zone, this->avoidedStores);
    if (source != nullptr) {
      if (leading) {
        aTo.fetches[index].peer = source->traits.endpoint;
        if (part.tokens > largest) {
          largest = part.tokens;
          this->fetchedFrom = source->name;
        }
      }
      continue;
    }
    if (leading) {
      const TargetRecord* holder = this->context.picker.FindHolder(part, this->Targets(), aTarget);
      leading = holder != nullptr;
      if (holder != nullptr) {
        aTo.fetches[index].peer = holder->endpoint;
      }
    }
    const PromptStore* destination = stored->SelectStore(part);
    const bool maySave =
      destination != nullptr && this->allowedRegions.Allows(destination->traits.zone);
    if (maySave && !this->avoidedStores.contains(destination->name)) {
      aTo.saves[index].peer = destination->traits.endpoint;
    }
  }
}

// Records the time to the first event for the latency models. Where parts came from a store, the
// time beyond the expected prefill is that store's delay (SlowStoreDetector).
void
Exchange::ObserveFirstEvent(const TargetRecord& aTarget)
{
  if (this->load.firstEventSeen || this->selection.promptTokens == TokenCount()) {
    return;
  }
  TargetSelector& picker = this->context.picker;
  this->firstEventAt = this->context.clock.MonotonicNow();
  const Duration sinceSend = this->firstEventAt - this->sentAt;
  const std::chrono::duration<double, std::milli> took = sinceSend;
  const double expected =
    picker.LatencyModelOf(this->selection.model).Expected(this->load.uncachedTokens);
  if (picker.RecordFirstEvent(
        aTarget.id, this->selection, this->load, !this->fetchedFrom.empty(), sinceSend)) {
    this->context.slowStores.Observe(this->fetchedFrom, took.count() - expected);
  }
  const Duration sinceArrival = this->context.clock.MonotonicNow() - this->arrived;
  if (sinceArrival > this->route->latencyObjective) {
    LogEvent(LogLevel::Info, "first_event_late")
      .With("request", this->call.request)
      .With("target", aTarget.id)
      .With("since_arrival_ms", WholeMilliseconds(sinceArrival))
      .With("since_send_ms", took.count())
      .With("expected_ms", expected)
      .With("to_read", this->load.uncachedTokens)
      .With("behind_others", this->load.queuedBehindOthers)
      .With("fetched_from", this->fetchedFrom)
      .With("slow_stores", this->avoidedStores.size())
      .With("sends", this->plan->Sent());
  }
  this->context.picker.OnFirstEvent(aTarget.id, this->load);
}

// Records how long the call occupied a slot: expected prefill plus the time since the first event.
// The wait for a slot is left out, since it grows with the load.
void
Exchange::ObserveSlotTime()
{
  if (!this->load.firstEventSeen) {
    return;
  }
  TargetSelector& picker = this->context.picker;
  const double prefillTime =
    picker.LatencyModelOf(this->selection.model).Expected(this->load.uncachedTokens);
  const Duration decodeTime = this->context.clock.MonotonicNow() - this->firstEventAt;
  const auto prefill = std::chrono::duration<double, std::milli>(prefillTime);
  picker.RecordRun(this->selection.model,
                   decodeTime + std::chrono::duration_cast<Duration>(prefill));
}

} // namespace damasklink
