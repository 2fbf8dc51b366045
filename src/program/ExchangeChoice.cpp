// Where an exchange sends its call, and what it says of the prompt's parts; the rest of the class
// stands in Exchange.cpp.
#include "Exchange.h"

#include <algorithm>
#include <iterator>

#include "damasklink/state/Units.h"
#include "damasklink/transport/Log.h"

namespace damasklink {
namespace {

// What a call of one priority may meet at its target; else it is refused at once. Memory that is
// full makes requests wait, pushes cached parts out, and these are then read again, which makes
// requests last longer: a long prompt of low priority is refused before that begins, and short
// urgent ones go on.
struct AdmissionLimits
{
  // How many times its latency objective the call may be expected to wait for others. Its own
  // reading does not count: a long prompt is not refused for its size.
  double patience;
  // Share of the engine's memory that requests may fill, this one among them.
  double memory;
};

constexpr AdmissionLimits kUrgentLimits{ 1.4, 1.2 };
constexpr AdmissionLimits kUsualLimits{ 1.1, 1.0 };
constexpr AdmissionLimits kLowLimits{ 0.85, 0.75 };

const AdmissionLimits&
LimitsOf(int aPriority)
{
  if (aPriority == 0) {
    return kUrgentLimits;
  }
  return aPriority == 1 ? kUsualLimits : kLowLimits;
}

// Callers leave a stream without an event after the longest of these: a time, so many times their
// latency objective, and so many times the longest pause between events.
constexpr Duration kCallersStay = std::chrono::seconds(2);
constexpr int kObjectivesStayed = 4;
constexpr int kPausesStayed = 8;

// How long a call may wait at an engine before it begins. Calls that could begin on older weights
// after the time for new ones is over are not sent to engines with older ones any more.
constexpr Duration kLongestQueue = std::chrono::milliseconds(3000);

} // namespace

// Names the parts of the prompt as targets with this version of weights cache them. Parts made by
// another version, or behind another workspace's wall, have other names.
void
Exchange::AskWithWeights(std::uint64_t aWeights)
{
  this->weights = aWeights;
  this->question.model = this->call.model;
  this->question.weights = aWeights;
  this->question.promptTokens = this->call.promptTokens;
  const ServingService* service = this->routes->Config().FindService(this->service);
  if (service != nullptr && service->engine) {
    this->question.cacheTokens = service->engine->cacheTokens;
  }
  this->question.parts.clear();
  this->question.stored.clear();
  const bool walled = this->workspace != nullptr && this->workspace->isolated;
  const WorkspaceId wall = walled ? this->workspace->name : WorkspaceId();
  this->scope =
    CacheScope(FormatPartScope(PartScope{ this->call.model, aWeights, wall, this->homes.Text() }));
  // The last part belongs to this call alone: nobody else could use it.
  for (std::size_t index = 0; index + 1 < this->call.parts.size(); ++index) {
    const PromptPart& part = this->call.parts[index];
    const PartKey key = MakePartKey(this->scope.Value(), part.id.Value());
    this->question.parts.push_back(SizedPart{ key, part.tokens });
  }
  const StoredParts* stored = this->context.picture.Stored();
  if (stored == nullptr) {
    return;
  }
  this->avoided.clear();
  double reading = 0;
  for (const SizedPart& part : this->question.parts) {
    reading += this->context.picker.PaceOf(this->call.model).MillisecondsPerToken() *
               static_cast<double>(part.tokens.Value());
  }
  for (const std::string& store : stored->StoreNames()) {
    if (!this->context.pace.ShouldFetch(store, reading)) {
      this->avoided.insert(store);
    }
  }
  for (const SizedPart& part : this->question.parts) {
    const PromptStore* from = stored->Find(part, this->question.zone, this->avoided);
    this->question.stored.push_back(
      from == nullptr
        ? std::nullopt
        : std::optional(PartSource{ from->traits.zone, stored->TransferTime(*from, part.tokens) }));
  }
}

const std::vector<TargetRecord>&
Exchange::Targets()
{
  const std::vector<TargetRecord>& usable = this->context.picture.Targets().Usable(this->service);
  if (!this->homes.IsRestricted()) {
    return usable;
  }
  this->atHome.clear();
  std::copy_if(usable.begin(),
               usable.end(),
               std::back_inserter(this->atHome),
               [this](const TargetRecord& aTarget) { return this->homes.Allows(aTarget.zone); });
  return this->atHome;
}

// Returns the newest version that was named or that a target has, 0 where none is known.
std::uint64_t
Exchange::NewestWeights()
{
  std::uint64_t newest = this->context.picture.WeightsOf(this->call.model);
  for (const TargetRecord& target : this->Targets()) {
    newest = std::max(newest, WeightsOf(target, this->call.model));
  }
  return newest;
}

void
Exchange::FindLimited()
{
  this->question.rateLimited.clear();
  if (this->context.limits.IsEmpty()) {
    return;
  }
  for (const TargetRecord& target : this->Targets()) {
    if (!this->context.limits.MaySend(target.id)) {
      this->question.rateLimited.insert(target.id);
    }
  }
}

const TargetRecord*
Exchange::ChooseTarget()
{
  this->FindLimited();
  const bool hasPrompt = this->route->carriesPrompt && !this->call.model.Empty();
  if (hasPrompt) {
    this->AskWithWeights(this->NewestWeights());
    this->question.minWeights = this->context.picture.WeightsKnownFor(
      this->call.model, this->context.settings.weightsWithin - kLongestQueue);
  }
  const std::vector<TargetRecord>& targets = this->Targets();
  const TargetRecord* chosen = this->context.picker.Choose(this->question, targets);
  if (!hasPrompt || chosen == nullptr || this->IsFit(*chosen)) {
    this->overloaded = false;
    return chosen;
  }
  // Only some of the targets were compared: no call is refused while another one has room.
  this->AskWithWeights(this->NewestWeights());
  this->question.compareAll = true;
  chosen = this->context.picker.Choose(this->question, targets);
  this->question.compareAll = false;
  this->overloaded = !this->IsFit(*chosen);
  if (this->overloaded) {
    this->LogOverload(*chosen);
  }
  return this->overloaded ? nullptr : chosen;
}

// Whether the target is expected to serve the call in time, with the weights that it has.
bool
Exchange::IsFit(const TargetRecord& aTarget)
{
  const std::uint64_t has = WeightsOf(aTarget, this->call.model);
  if (has != this->weights) {
    this->AskWithWeights(has);
  }
  return this->IsExpectedInTime(aTarget);
}

// A call that would wait behind others for longer than its latency objective is refused at once,
// and one whose caller would leave before its first event: what the target had read for it would be
// lost. The more urgent a call is, the longer it may wait: targets take it ahead of the others.
bool
Exchange::IsExpectedInTime(const TargetRecord& aTarget) const
{
  const Duration wait = this->context.picker.ExpectedWait(this->question, aTarget);
  const Duration expected = this->context.picker.ExpectedFirstEvent(this->question, aTarget);
  const double memory = this->context.picker.MemoryShare(this->question, aTarget.id);
  const AdmissionLimits& limits = LimitsOf(this->Priority());
  const Duration objective = this->route->latencyObjective;
  const Duration stays = std::max(
    { kCallersStay, objective * kObjectivesStayed, this->route->pauseObjective * kPausesStayed });
  const bool soonEnough =
    wait <= objective * limits.patience && expected <= std::min(stays, this->TimeLeft());
  return soonEnough && memory <= limits.memory;
}

void
Exchange::LogOverload(const TargetRecord& aBest) const
{
  const TargetPicker& picker = this->context.picker;
  const AdmissionLimits& limits = LimitsOf(this->Priority());
  LogEvent(LogLevel::Info, "refused_as_overloaded")
    .With("request", this->call.request)
    .With("best_target", aBest.id)
    .With("wait_ms", WholeMilliseconds(picker.ExpectedWait(this->question, aBest)))
    .With("expected_ms", WholeMilliseconds(picker.ExpectedFirstEvent(this->question, aBest)))
    .With("objective_ms", WholeMilliseconds(this->route->latencyObjective))
    .With("patience", limits.patience)
    .With("memory", picker.MemoryShare(this->question, aBest.id))
    .With("most_memory", limits.memory)
    .With("to_read", picker.UncachedTokens(this->question, aBest.id))
    .With("weights", this->weights);
}

int
Exchange::Priority() const
{
  if (this->workspace == nullptr) {
    return this->route->priority;
  }
  return this->workspace->priority.value_or(this->route->priority);
}

TargetCall
Exchange::CallFor(const TargetRecord& aTarget)
{
  TargetCall call;
  call.target = aTarget.id;
  call.timeLeft = this->TimeLeft();
  call.priority = this->Priority();
  if (this->workspace != nullptr) {
    call.workspace = this->workspace->name;
  }
  call.lastEvent = this->framer.LastEvent() ? this->framer.LastEvent() : this->call.lastEvent;
  if (this->route->carriesPrompt && !this->scope.Empty()) {
    call.scope = this->scope;
    if (this->weights > 0) {
      call.weights = this->weights;
    }
    this->AddPartMoves(aTarget, call);
  }
  return call;
}

// Lets the target fetch the leading parts, should it lack them, from a store, or from a target that
// is believed to hold them where no store is fit, and save those that are stored nowhere.
void
Exchange::AddPartMoves(const TargetRecord& aTarget, TargetCall& aTo)
{
  this->fetchedFrom.clear();
  const StoredParts* stored = this->context.picture.Stored();
  if (stored == nullptr || this->question.parts.empty()) {
    return;
  }
  aTo.fetches.resize(this->call.parts.size());
  aTo.saves.resize(this->call.parts.size());
  bool leading = true;
  TokenCount most;
  for (std::size_t index = 0; index < this->question.parts.size(); ++index) {
    const SizedPart& part = this->question.parts[index];
    const PromptStore* from = stored->Find(part, aTarget.zone, this->avoided);
    if (from != nullptr) {
      if (leading) {
        aTo.fetches[index].peer = from->traits.endpoint;
        if (part.tokens > most) {
          most = part.tokens;
          this->fetchedFrom = from->name;
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
    const PromptStore* home = stored->SelectStore(part);
    const bool mayKeep = home != nullptr && this->homes.Allows(home->traits.zone);
    if (mayKeep && !this->avoided.contains(home->name)) {
      aTo.saves[index].peer = home->traits.endpoint;
    }
  }
}

// Tells what the first event took beyond reading what the target was to read, for StorePace.
void
Exchange::NoteFirstEvent(const TargetRecord& aTarget)
{
  if (this->work.firstEventSeen || this->question.promptTokens == TokenCount()) {
    return;
  }
  TargetPicker& picker = this->context.picker;
  this->firstEventAt = this->context.clock.MonotonicNow();
  const Duration sinceSend = this->firstEventAt - this->sentAt;
  const std::chrono::duration<double, std::milli> took = sinceSend;
  const double expected = picker.PaceOf(this->question.model).Expected(this->work.uncachedTokens);
  if (picker.RecordFirstEvent(
        aTarget.id, this->question, this->work, !this->fetchedFrom.empty(), sinceSend)) {
    this->context.pace.Observe(this->fetchedFrom, took.count() - expected);
  }
  const Duration sinceArrival = this->context.clock.MonotonicNow() - this->arrived;
  if (sinceArrival > this->route->latencyObjective) {
    LogEvent(LogLevel::Info, "first_event_late")
      .With("request", this->call.request)
      .With("target", aTarget.id)
      .With("since_arrival_ms", WholeMilliseconds(sinceArrival))
      .With("since_send_ms", took.count())
      .With("expected_ms", expected)
      .With("to_read", this->work.uncachedTokens)
      .With("behind_others", this->work.queuedBehindOthers)
      .With("fetched_from", this->fetchedFrom)
      .With("slow_stores", this->avoided.size())
      .With("sends", this->plan->Sent());
  }
  this->context.picker.OnFirstEvent(aTarget.id, this->work);
}

// Tells how long the call had a slot: without its wait for one, which grows with the load.
void
Exchange::NoteRun()
{
  if (!this->work.firstEventSeen) {
    return;
  }
  TargetPicker& picker = this->context.picker;
  const double reading = picker.PaceOf(this->question.model).Expected(this->work.uncachedTokens);
  const Duration answering = this->context.clock.MonotonicNow() - this->firstEventAt;
  const auto read = std::chrono::duration<double, std::milli>(reading);
  picker.RecordRun(this->question.model, answering + std::chrono::duration_cast<Duration>(read));
}

} // namespace damasklink
