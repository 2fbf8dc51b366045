#include "PolicyParts.h"

#include <algorithm>

#include "damasklink/coordination/BlockNames.h"
#include "damasklink/state/Digests.h"
#include "damasklink/state/Text.h"

namespace damasklink::bench {
void
EventLoop::At(Duration aTime, Action aAction)
{
  this->events.push({ std::max(aTime, this->now), ++this->lastNumber, std::move(aAction) });
}

void
EventLoop::Run()
{
  while (!this->events.empty()) {
    const Action action = this->events.top().action;
    const Duration at = this->events.top().at;
    this->events.pop();
    this->clock.Advance(at - this->now);
    this->now = at;
    action();
  }
}

std::uint64_t
FakeCache::Depth(const std::vector<Digest>& aBlocks) const
{
  std::uint64_t depth = 0;
  while (depth < aBlocks.size() && this->Holds(aBlocks[depth])) {
    ++depth;
  }
  return depth;
}

bool
FakeCache::Holds(const Digest& aBlock) const
{
  return this->places.contains(BlockHint(aBlock));
}

void
FakeCache::Insert(const std::vector<Digest>& aBlocks, std::uint64_t aCount, CacheEvent& aChange)
{
  // From the end, so that the beginning, which more prompts share, is the most recent.
  for (std::uint64_t left = std::min<std::uint64_t>(aCount, aBlocks.size()); left > 0; --left) {
    const Digest& block = aBlocks[left - 1];
    const auto found = this->places.find(BlockHint(block));
    if (found != this->places.end()) {
      this->order.splice(this->order.begin(), this->order, found->second);
      continue;
    }
    this->order.push_front(&block);
    this->places[BlockHint(block)] = this->order.begin();
    aChange.added.push_back(block);
  }
  while (this->places.size() > this->mostBlocks) {
    aChange.removed.push_back(*this->order.back());
    this->places.erase(BlockHint(*this->order.back()));
    this->order.pop_back();
  }
}

std::vector<Digest>
FakeCache::All() const
{
  std::vector<Digest> all;
  for (auto block = this->order.rbegin(); block != this->order.rend(); ++block) {
    all.push_back(**block);
  }
  return all;
}

std::uint64_t
FakeLink::Start(bool aImport, double aBytes, Arrived aArrived)
{
  this->Settle();
  Transfer fresh{ ++this->lastId, aImport, aBytes, this->loop.Now(), std::move(aArrived) };
  auto place = this->transfers.end();
  if (aImport) {
    const auto isExport = [](const Transfer& aTransfer) { return !aTransfer.import; };
    // The one that moves now is not interrupted.
    const auto second =
      this->transfers.empty() ? this->transfers.end() : std::next(this->transfers.begin());
    place = std::find_if(second, this->transfers.end(), isExport);
  }
  this->transfers.insert(place, std::move(fresh));
  this->Schedule();
  return this->lastId;
}

bool
FakeLink::Cancel(std::uint64_t aTransfer)
{
  this->Settle();
  const std::size_t removed =
    this->transfers.remove_if([&](const Transfer& aOther) { return aOther.id == aTransfer; });
  this->Schedule();
  return removed > 0;
}

void
FakeLink::SetRate(double aBytesPerSecond)
{
  this->Settle();
  this->rate = aBytesPerSecond;
  this->Schedule();
}

void
FakeLink::Settle()
{
  const double seconds = std::chrono::duration<double>(this->loop.Now() - this->settledAt).count();
  this->settledAt = this->loop.Now();
  if (!this->transfers.empty()) {
    const double bytes = std::min(this->transfers.front().bytes, seconds * this->rate);
    this->transfers.front().bytes -= bytes;
    (this->transfers.front().import ? this->imported : this->exported) += bytes;
  }
}

void
FakeLink::Schedule()
{
  const std::uint64_t mine = ++this->schedule;
  if (this->transfers.empty()) {
    return;
  }
  const Duration rest = FromSeconds(this->transfers.front().bytes / this->rate);
  this->loop.After(rest + Duration(1), [this, mine] {
    if (mine != this->schedule) {
      return;
    }
    this->Settle();
    Transfer over = std::move(this->transfers.front());
    this->transfers.pop_front();
    this->Schedule();
    over.arrived(this->loop.Now() - over.begun);
  });
}

Result<RouteDecision>
CountingRouter::Choose(const RouteRequest& aRequest, const std::vector<TargetRecord>& aTargets)
{
  if (this->kind == PolicyKind::LeastLoaded) {
    return this->leastLoaded.Choose(aRequest, aTargets);
  }
  std::vector<const TargetRecord*> eligible;
  for (const TargetRecord& target : aTargets) {
    if (!EligibleVersion(aRequest, target).Empty()) {
      eligible.push_back(&target);
    }
  }
  if (eligible.empty()) {
    return Fail(ErrorKind::Unavailable, "no target", "");
  }
  const TargetRecord* target = this->Pick(eligible);
  RouteDecision decision;
  decision.target = target->id;
  decision.version = EligibleVersion(aRequest, *target);
  return decision;
}

const TargetRecord*
CountingRouter::Pick(const std::vector<const TargetRecord*>& aTargets)
{
  if (this->kind == PolicyKind::StickyByHash) {
    const auto score = [&](const TargetRecord* aTarget) {
      return DigestOf(Concat(this->conversation, " ", aTarget->id.Value()));
    };
    return *std::max_element(aTargets.begin(), aTargets.end(), [&](auto aLeft, auto aRight) {
      return score(aLeft) < score(aRight);
    });
  }
  const TargetRecord* first = aTargets[this->random() % aTargets.size()];
  const TargetRecord* second = aTargets[this->random() % aTargets.size()];
  return this->outstanding[first->id] <= this->outstanding[second->id] ? first : second;
}

void
CountingRouter::OnSent(const RouteRequest& aRequest, const RouteDecision& aDecision)
{
  this->leastLoaded.OnSent(aRequest, aDecision);
  ++this->outstanding[aDecision.target];
}

void
CountingRouter::OnDone(const RouteRequest& aRequest, const RouteDecision& aDecision, bool aWhole)
{
  this->leastLoaded.OnDone(aRequest, aDecision, aWhole);
  --this->outstanding[aDecision.target];
}

} // namespace damasklink::bench
