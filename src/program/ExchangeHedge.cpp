// When an Exchange hedges its call, and where. The attempt itself is a standby attempt
// (ExchangeStandby.cpp). The rest of the class is in the other Exchange*.cpp files.
#include <algorithm>

#include "Exchange.h"
#include "damasklink/state/Units.h"
#include "damasklink/transport/Log.h"

namespace damasklink {
namespace {

// Time for which two targets may work on the same prompt. Then the first one is given up, which is
// expected to take longer.
constexpr Duration kMaxOverlap = std::chrono::milliseconds(300);

// A host that heard nothing of a service for this long may be cut off itself.
constexpr Duration kMaxQuiet = std::chrono::seconds(2);

} // namespace

HedgeKind
Exchange::KindOfHedge() const
{
  return HedgeKind{ this->route->name,
                    this->load.uncachedTokens.Value() >= TargetSelector::kLongPrefill };
}

// Only the first attempt of a call that is not resumed is timed: others have waited before.
void
Exchange::ArmHedge()
{
  const MonotonicTime now = this->context.clock.MonotonicNow();
  const bool mayHedge = this->context.hedgePolicy.IsOn() && this->plan->MayHedge(now) &&
                        !this->forwardedLimits && !this->begunOn && !this->call.lastEvent;
  this->hedgeTimed = !mayHedge;
  if (!mayHedge) {
    return;
  }
  this->hedgeTimer.emplace(this->context.loop.get_executor(), [this] { this->OnHedgeDue(); });
  this->AskForHedgeLater();
}

void
Exchange::EndHedgeWait()
{
  if (this->hedgeTimed || !this->hedgeTimer) {
    return;
  }
  this->hedgeTimed = true;
  this->hedgeTimer->Disarm();
  this->context.hedgePolicy.Observe(this->KindOfHedge(),
                                    this->context.clock.MonotonicNow() - this->sentAt);
}

HedgeSituation
Exchange::SituationOfHedge() const
{
  const EntryContext& shared = this->context;
  HedgeSituation situation;
  situation.repeatable = this->plan->Limits().repeatable;
  situation.passedOn = this->plan->PassedOn();
  situation.attemptLeft = this->plan->MayHedge(shared.clock.MonotonicNow());
  situation.forwarded = this->forwardedLimits || this->forwarded != nullptr;
  situation.hostShortOfTime = shared.shuttingDown || shared.overloaded;
  situation.isolated = shared.paths.IsUnreachable(this->service) ||
                       !shared.paths.HadBytesWithin(this->service, kMaxQuiet);
  situation.crowded = shared.crowded.contains(this->service);
  situation.use = shared.hedgePolicy.UseOf(this->service);
  situation.brittle = shared.brittle.IsBrittle(this->service);
  return situation;
}

void
Exchange::OnHedgeDue()
{
  const bool overlaps = this->IsHedging() && this->standby->stage == StandbyAttempt::Stage::Sent;
  if (overlaps) {
    this->GiveUpForHedge();
    return;
  }
  if (this->channel == nullptr || this->received || this->IsKnownToCrash()) {
    return;
  }
  const HedgeVerdict verdict = HedgePolicy::Decide(this->SituationOfHedge());
  if (verdict == HedgeVerdict::Send) {
    this->StartStandby(true);
  } else {
    this->CountHedge(HedgeVerdictName(verdict));
  }
}

bool
Exchange::IsHedging() const
{
  return this->standby != nullptr && this->standby->hedge;
}

// The selector prefers targets that hold the parts of the prompt. It considers ejected targets as a
// last resort, which a hedge is not worth.
const TargetRecord*
Exchange::ChooseHedgeTarget()
{
  // Not the verdict on the attempt in progress, which may still succeed.
  const bool overloadedBefore = this->overloaded;
  const TargetRecord* chosen = this->ChooseTarget();
  this->overloaded = overloadedBefore;
  if (chosen == nullptr || this->context.health.IsEjected(chosen->id) ||
      chosen->coldFor > Duration::zero()) {
    return nullptr;
  }
  const TargetSelector& picker = this->context.picker;
  const std::uint64_t running = picker.LoadOf(chosen->id).requests;
  const bool loaded = chosen->load.slots > 0 && running * 2 > chosen->load.slots;
  const bool slow = this->selection.promptTokens > TokenCount() &&
                    picker.ExpectedFirstEvent(this->selection, *chosen) > kMaxOverlap;
  return loaded || slow ? nullptr : chosen;
}

// The slower a call is, the more often it asks.
void
Exchange::AskForHedgeLater()
{
  if (const auto delay = this->context.hedgePolicy.DelayOf(this->KindOfHedge())) {
    this->hedgeTimer->Arm(*delay);
  }
}

Awaitable<void>
Exchange::TryHedge(std::shared_ptr<StandbyAttempt> aStandby)
{
  const TargetRecord* chosen = this->ChooseHedgeTarget();
  if (chosen == nullptr) {
    this->CountHedge("no_target");
    this->AskForHedgeLater();
    co_return;
  }
  const MonotonicTime now = this->context.clock.MonotonicNow();
  if (!this->context.hedges.TryTake(this->service, now, this->context.retries.Of(this->service))) {
    this->CountHedge("no_budget");
    this->AskForHedgeLater();
    co_return;
  }
  if (this->route->carriesPrompt) {
    this->hedgeTimer->Arm(kMaxOverlap);
  }
  const TargetRecord target = *chosen;
  co_await this->TryStandbyTarget(std::move(aStandby), target);
}

void
Exchange::GiveUpForHedge()
{
  if (this->channel == nullptr) {
    return;
  }
  this->EndHedgeWait();
  this->overtaken = true;
  this->channel->Close();
}

void
Exchange::CountHedge(std::string_view aOutcome) const
{
  this->context.metrics.Add(Counter::Hedges, MetricKey{ WorkspaceId(), std::string(aOutcome) }, 1);
}

} // namespace damasklink
