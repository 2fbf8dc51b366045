#include "PolicySimulation.h"

#include <algorithm>

#include "damasklink/state/Text.h"

namespace damasklink::bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kReportEvery = milliseconds(300);
constexpr Duration kReportDelay = milliseconds(100);
constexpr Duration kLateReportDelay = milliseconds(2500);
constexpr Duration kPeersEvery = milliseconds(100);
constexpr Duration kNoticeGone = seconds(2);
// When faults begin: in the middle of a rush, and how long they last.
constexpr Duration kFaultAt = std::chrono::hours(24) + seconds(5);
constexpr Duration kFaultLength = std::chrono::hours(6);
constexpr std::uint32_t kUnreachableTargets = 3;

} // namespace

Simulation::Simulation(const UserShape& aUser, const Trace& aTrace, const SimOptions& aOptions)
  : user(aUser)
  , trace(aTrace)
  , options(aOptions)
{
  for (std::uint64_t number = 0; number < aUser.replicas; ++number) {
    Engine& engine = this->engines.emplace_back(aUser.cacheBlocks);
    engine.id = TargetId(Concat("engine-", number));
    // Engines differ from what they declare, and one is much slower.
    constexpr double kSlowest = 0.5;
    constexpr double kSpread = 0.1;
    const double spread = 1 + (kSpread * (static_cast<double>(number % 5) - 2));
    engine.rate = aUser.prefillRate * (number == 4 ? kSlowest : spread);
  }
  this->MakeStores();
  const std::uint32_t routerCount = this->IsCost() ? kHosts : 1;
  for (std::uint32_t host = 0; host < routerCount; ++host) {
    if (this->IsCost()) {
      auto router = std::make_unique<CostRouter>(this->loop.GetClock(), aOptions.router);
      this->costRouters.push_back(router.get());
      this->routers.push_back(std::move(router));
    } else {
      auto router = std::make_unique<CountingRouter>(aOptions.policy);
      this->counting = router.get();
      this->routers.push_back(std::move(router));
    }
  }
}

void
Simulation::MakeStores()
{
  constexpr double kConstantWeight = 1e18;
  for (std::uint32_t number = 0; number < kStores; ++number) {
    Store& store = this->stores.emplace_back();
    StoreManagerOptions owner;
    owner.store = StoreId(Concat("store-", number));
    owner.declared = this->user.store;
    owner.costBasedAdmission = this->IsCost() && this->options.costBasedAdmission;
    if (!this->IsCost() || !this->options.learnReturns) {
      // A share that never changes: all kinds alike, so that the least recently used goes first.
      owner.returns.priorWeight = kConstantWeight;
    }
    store.owner = std::make_unique<StoreManager>(this->loop.GetClock(), FencingNumber(1), owner);
    store.link = std::make_unique<FakeLink>(
      this->loop, static_cast<double>(this->user.store.linkBytesPerSecond.Value()));
  }
}

bool
Simulation::During(FaultKind aFault) const
{
  const Duration now = this->loop.Now();
  return this->options.fault == aFault && now >= kFaultAt && now < kFaultAt + kFaultLength;
}

bool
Simulation::IsCut(std::uint32_t aHost, std::uint32_t aZone) const
{
  // The last zone is cut off from the others.
  const bool hostInside = aHost % kZones == kZones - 1;
  const bool zoneInside = aZone % kZones == kZones - 1;
  return this->During(FaultKind::ZoneCut) && hostInside != zoneInside;
}

void
Simulation::ScheduleFaults()
{
  if (this->options.fault == FaultKind::StoreLost) {
    this->loop.At(kFaultAt, [this] { this->LoseStore(); });
  }
  if (this->options.fault == FaultKind::TargetGone) {
    this->loop.At(kFaultAt, [this] { this->LoseTargets(); });
  }
  if (this->options.fault == FaultKind::LinkSlow) {
    const auto rate = static_cast<double>(this->user.store.linkBytesPerSecond.Value());
    constexpr double kSlow = 0.01;
    this->loop.At(kFaultAt, [this, rate] { this->stores[0].link->SetRate(rate * kSlow); });
    this->loop.At(kFaultAt + kFaultLength, [this, rate] { this->stores[0].link->SetRate(rate); });
  }
}

void
Simulation::LoseStore()
{
  // Its owner starts again with nothing; offers on the way are lost with it.
  StoreManagerOptions owner;
  owner.store = StoreId("store-0");
  owner.declared = this->user.store;
  owner.costBasedAdmission = this->IsCost() && this->options.costBasedAdmission;
  this->stores[0].offers.clear();
  this->stores[0].owner =
    std::make_unique<StoreManager>(this->loop.GetClock(), FencingNumber(2), owner);
  this->stores[0].owner->Rebuild({});
}

void
Simulation::LoseTargets()
{
  for (std::uint32_t number = 0; number < kUnreachableTargets; ++number) {
    Engine& engine = this->engines[number];
    engine.alive = false;
    std::vector<JobPtr> lost(engine.queue.begin(), engine.queue.end());
    if (engine.prefilling) {
      lost.push_back(engine.prefilling);
    }
    engine.queue.clear();
    engine.prefilling.reset();
    for (const JobPtr& job : lost) {
      this->routers[job->prompt->host % this->routers.size()]->OnDone(
        job->route, job->decision, false);
      job->route.excluded.push_back(engine.id);
      this->SendToBest(job);
    }
    for (const JobPtr& job : std::vector<JobPtr>(engine.running)) {
      this->Finish(job);
    }
  }
  this->loop.After(kNoticeGone, [this] { this->Report(); });
}

void
Simulation::Wake()
{
  if (this->awake) {
    return;
  }
  this->awake = true;
  this->Report();
  this->Exchange();
}

TargetRecord
Simulation::RecordOf(std::uint32_t aEngine)
{
  Engine& engine = this->engines[aEngine];
  TargetRecord record;
  record.id = engine.id;
  record.zone = ZoneId(Concat("zone-", aEngine % kZones));
  record.incarnation = Incarnation(1);
  record.sequence = this->reports;
  record.models = { ServedModel{ ModelName(kModel), WeightVersion(kVersion), {} } };
  record.rates.prefillTokensPerSecond = this->user.prefillRate;
  record.load.runningRequests = engine.running.size() + (engine.prefilling ? 1 : 0);
  record.load.queuedRequests = engine.queue.size();
  record.load.slots = this->user.slots;
  const double left = std::max(0.0, ToSeconds(engine.prefillEnds - this->loop.Now())) * engine.rate;
  record.load.queuedPrefill = TokenCount(static_cast<std::uint64_t>(left + engine.backlog));
  return record;
}

void
Simulation::Report()
{
  this->reports = this->reports.Next();
  auto records = std::make_shared<std::vector<TargetRecord>>();
  for (std::uint32_t number = 0; number < this->engines.size(); ++number) {
    const bool noticed = this->loop.Now() >= kFaultAt + kNoticeGone;
    if (this->engines[number].alive || !noticed) {
      records->push_back(this->RecordOf(number));
    }
  }
  const bool first = this->published.empty();
  const Duration delay = this->During(FaultKind::ReportsLate) ? kLateReportDelay : kReportDelay;
  this->loop.After(first ? Duration(0) : delay, [this, records] { this->published = *records; });
  if (first) {
    this->published = *records;
  }
  if (this->open > 0) {
    this->loop.After(kReportEvery, [this] { this->Report(); });
  } else {
    this->awake = false;
  }
}

void
Simulation::Exchange()
{
  for (std::uint32_t host = 0; host < this->costRouters.size(); ++host) {
    const std::vector<TargetSendsDelta> sends = this->costRouters[host]->TakeSends();
    for (std::uint32_t peer = 0; peer < this->costRouters.size(); ++peer) {
      if (peer != host && !sends.empty() && !this->IsCut(host, peer)) {
        this->costRouters[peer]->OnPeerSends(sends);
      }
    }
  }
  if (this->awake) {
    this->loop.After(kPeersEvery, [this] { this->Exchange(); });
  }
}

std::vector<TargetRecord>
Simulation::TargetsFor(std::uint32_t aHost) const
{
  std::vector<TargetRecord> seen;
  for (std::uint32_t number = 0; number < this->published.size(); ++number) {
    if (!this->IsCut(aHost, number)) {
      seen.push_back(this->published[number]);
    }
  }
  return seen;
}

SimResult
Simulation::Run()
{
  this->ScheduleFaults();
  for (const TracePrompt& prompt : this->trace.prompts) {
    this->loop.At(prompt.at, [this, &prompt] { this->Arrive(prompt); });
  }
  this->loop.At(this->trace.measuredFrom, [this] { this->AddMoved(this->result, -1); });
  this->loop.Run();
  return this->Results();
}

void
Simulation::AddMoved(SimResult& aTo, double aSign) const
{
  for (const Store& store : this->stores) {
    aTo.imported += aSign * store.link->Imported();
    aTo.exported += aSign * store.link->Exported();
  }
}

SimResult
Simulation::Results()
{
  SimResult& result = this->result;
  result.prompts = this->firstTokens.size();
  result.unserved = this->unserved;
  std::sort(this->firstTokens.begin(), this->firstTokens.end());
  const auto quantile = [&](double aShare) {
    const auto at = static_cast<std::size_t>(aShare * static_cast<double>(result.prompts));
    return this->firstTokens.empty() ? 0 : this->firstTokens[std::min(at, result.prompts - 1)];
  };
  result.p50 = quantile(0.50);
  result.p95 = quantile(0.95);
  result.p99 = quantile(0.99);
  result.recomputed = this->recomputedTokens / std::max(1.0, this->promptTokens);
  this->AddMoved(result, 1);
  double most = 0;
  double sum = 0;
  for (const Engine& engine : this->engines) {
    most = std::max(most, engine.busy);
    sum += engine.busy;
  }
  result.imbalance = most * static_cast<double>(this->engines.size()) / std::max(sum, 1e-9);
  return result;
}

SimResult
RunPolicy(const UserShape& aUser, const Trace& aTrace, const SimOptions& aOptions)
{
  Simulation simulation(aUser, aTrace, aOptions);
  return simulation.Run();
}

} // namespace damasklink::bench
