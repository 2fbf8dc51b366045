// The life of one prompt in the policy bench: look-up, choice, import, prefill, answer, export.
#include "PolicySimulation.h"

#include <algorithm>

#include "damasklink/coordination/BlockNames.h"
#include "damasklink/state/Text.h"

namespace damasklink::bench {
namespace {

using std::chrono::milliseconds;

constexpr Duration kEventDelay = milliseconds(50);
constexpr Duration kSnapshotDelay = milliseconds(2000);
constexpr Duration kRetryImport = milliseconds(20);
constexpr Duration kRetryExport = milliseconds(100);
constexpr std::size_t kMostOffers = 4000;
// Of a thousand cache events, so many are lost and as many come twice.
constexpr std::uint64_t kLostOfThousand = 3;

} // namespace

BlockScope
Simulation::ScopeOf(const Job& aJob) const
{
  return { aJob.route.workspace, ModelName(kModel), WeightVersion(kVersion), AdapterName() };
}

void
Simulation::Arrive(const TracePrompt& aPrompt)
{
  ++this->open;
  this->Wake();
  auto job = std::make_shared<Job>();
  job->prompt = &aPrompt;
  job->blocks = &this->trace.blocks[aPrompt.conversation];
  RouteRequest& route = job->route;
  route.workspace = WorkspaceId(Concat("workspace-", aPrompt.workspace));
  route.model = ModelName(kModel);
  route.blocksVersion = WeightVersion(kVersion);
  route.objective = this->user.objective;
  route.promptTokens = TokenCount(aPrompt.tokens);
  route.grants = { ModelGrant{ ModelName(kModel), {} } };
  const std::uint64_t whole = aPrompt.tokens / kBlockTokens;
  route.blocks.assign(job->blocks->begin(),
                      job->blocks->begin() + static_cast<std::ptrdiff_t>(whole));
  for (std::uint32_t number = 0; number < kStores; ++number) {
    if (!this->IsCut(aPrompt.host, number)) {
      const StoredPrefix kept =
        this->stores[number].owner->LookUp(this->ScopeOf(*job), route.blocks);
      job->returning = job->returning || kept.returning;
      if (kept.blocks > 0) {
        route.stored.push_back(kept);
      }
    }
  }
  this->SendToBest(job);
}

void
Simulation::SendToBest(const JobPtr& aJob)
{
  if (this->IsOracle()) {
    const auto finish = [&](const Engine& aEngine) {
      const double wait = std::max(0.0, ToSeconds(aEngine.prefillEnds - this->loop.Now()));
      return wait + ((aEngine.backlog + this->Uncached(*aJob, aEngine)) / aEngine.rate);
    };
    std::uint32_t best = 0;
    while (!this->engines[best].alive) {
      ++best;
    }
    for (std::uint32_t number = best; number < this->engines.size(); ++number) {
      const bool better = finish(this->engines[number]) < finish(this->engines[best]);
      best = this->engines[number].alive && better ? number : best;
    }
    aJob->engine = best;
    this->Enqueue(aJob);
    return;
  }
  const std::uint32_t host = aJob->prompt->host;
  Router& router = *this->routers[host % this->routers.size()];
  if (this->counting != nullptr) {
    // Told the conversation itself, which a real host would have to guess.
    this->counting->SetConversation(aJob->prompt->conversation);
  }
  auto chosen = router.Choose(aJob->route, this->TargetsFor(host));
  if (!chosen) {
    ++this->unserved;
    --this->open;
    return;
  }
  aJob->decision = chosen.value();
  const auto isTarget = [&](const Engine& aEngine) { return aEngine.id == aJob->decision.target; };
  const auto engine = std::find_if(this->engines.begin(), this->engines.end(), isTarget);
  aJob->engine = static_cast<std::uint32_t>(engine - this->engines.begin());
  router.OnSent(aJob->route, aJob->decision);
  aJob->sentAt = this->loop.Now();
  if (!engine->alive) {
    router.OnDone(aJob->route, aJob->decision, false);
    aJob->route.excluded.push_back(engine->id);
    this->SendToBest(aJob);
    return;
  }
  this->Send(aJob);
}

void
Simulation::Send(const JobPtr& aJob)
{
  if (!this->IsCost()) {
    this->ChoosePlainImport(*aJob);
  }
  if (aJob->decision.importFrom.Empty()) {
    this->Enqueue(aJob);
    return;
  }
  const std::uint32_t store = aJob->decision.importFrom == StoreId("store-0") ? 0 : 1;
  this->Import(aJob, store);
}

void
Simulation::ChoosePlainImport(Job& aJob) const
{
  const std::uint64_t depth = this->engines[aJob.engine].cache.Depth(aJob.route.blocks);
  double least = 0;
  for (const StoredPrefix& stored : aJob.route.stored) {
    if (stored.blocks <= depth) {
      continue;
    }
    const std::uint64_t missing = stored.blocks - depth;
    const double bytes = static_cast<double>(missing * this->BlockBytes());
    const double saved = (static_cast<double>(missing * kBlockTokens) / this->user.prefillRate) -
                         (bytes / stored.freeBytesPerSecond);
    if (saved > least) {
      least = saved;
      aJob.decision.importFrom = stored.store;
      aJob.decision.importBlocks = stored.blocks;
    }
  }
}

void
Simulation::Import(const JobPtr& aJob, std::uint32_t aStore)
{
  Engine& engine = this->engines[aJob->engine];
  const std::uint64_t depth = engine.cache.Depth(aJob->route.blocks);
  const std::uint64_t end = aJob->decision.importBlocks;
  if (depth >= end) {
    this->Enqueue(aJob);
    return;
  }
  Store& store = this->stores[aStore];
  const std::uint64_t rest = end - depth;
  const double rate = this->IsCost() ? this->costRouters[aJob->prompt->host]->PrefillRate(engine.id)
                                     : this->user.prefillRate;
  const ByteCount bytes(rest * this->BlockBytes());
  const RemainingImport left{
    bytes, TokenCount(rest * kBlockTokens), store.owner->Link().RateFor(bytes), rate
  };
  const ObjectiveWeights weights = this->IsCost() ? this->user.objective : ObjectiveWeights();
  auto grant = store.owner->GrantImport(this->ScopeOf(*aJob), aJob->route.blocks, depth, end);
  const bool busy = !grant && grant.error().kind == ErrorKind::Overloaded;
  if (busy && !ShouldAbandonImport(left, weights)) {
    this->loop.After(kRetryImport, [this, aJob, aStore] { this->Import(aJob, aStore); });
    return;
  }
  if (!grant) {
    this->Enqueue(aJob);
    return;
  }
  this->Transfer(aJob, aStore, grant.value(), ImportTimeLimit(left, weights));
}

void
Simulation::Transfer(const JobPtr& aJob,
                     std::uint32_t aStore,
                     const ImportGrant& aGrant,
                     Duration aPatience)
{
  Store& store = this->stores[aStore];
  StoreManager* owner = store.owner.get();
  const auto moving = std::make_shared<bool>(true);
  const std::uint64_t depth = this->engines[aJob->engine].cache.Depth(aJob->route.blocks);
  const std::uint64_t transfer = store.link->Start(
    true, static_cast<double>(aGrant.bytes.Value()), [=, this](Duration aElapsed) {
      *moving = false;
      if (this->stores[aStore].owner.get() == owner) {
        owner->OnImported(aGrant, aElapsed);
        CacheEvent change;
        this->engines[aJob->engine].cache.Insert(
          *aJob->blocks, depth + aGrant.blocks.size(), change);
        this->PublishCache(aJob->engine, std::move(change));
      }
      this->Import(aJob, aStore);
    });
  // Waiting longer than computing would take can't pay.
  this->loop.After(aPatience, [=, this] {
    if (*moving && this->stores[aStore].link->Cancel(transfer)) {
      *moving = false;
      if (this->stores[aStore].owner.get() == owner) {
        owner->OnImportFailed(aGrant, {});
      }
      this->Enqueue(aJob);
    }
  });
}

double
Simulation::Uncached(const Job& aJob, const Engine& aEngine) const
{
  const auto tokens = static_cast<double>(aJob.prompt->tokens);
  std::uint64_t depth = 0;
  if (this->IsOracle()) {
    while (depth < aJob.route.blocks.size() &&
           this->computed.contains(BlockHint(aJob.route.blocks[depth]))) {
      ++depth;
    }
  } else {
    depth = aEngine.cache.Depth(aJob.route.blocks);
  }
  return std::max(1.0, tokens - static_cast<double>(depth * kBlockTokens));
}

void
Simulation::Enqueue(const JobPtr& aJob)
{
  Engine& engine = this->engines[aJob->engine];
  if (!engine.alive) {
    this->routers[aJob->prompt->host % this->routers.size()]->OnDone(
      aJob->route, aJob->decision, false);
    aJob->route.excluded.push_back(engine.id);
    this->SendToBest(aJob);
    return;
  }
  aJob->work = this->Uncached(*aJob, engine);
  engine.backlog += aJob->work;
  engine.queue.push_back(aJob);
  this->StartPrefill(aJob->engine);
}

void
Simulation::StartPrefill(std::uint32_t aEngine)
{
  Engine& engine = this->engines[aEngine];
  if (engine.prefilling || engine.queue.empty() || engine.running.size() >= this->user.slots) {
    return;
  }
  const JobPtr job = engine.queue.front();
  engine.queue.pop_front();
  engine.backlog = std::max(0.0, engine.backlog - job->work);
  engine.prefilling = job;
  const double work = this->Uncached(*job, engine);
  this->CountWork(*job, work);
  const Duration length = FromSeconds(work / engine.rate);
  engine.busy += ToSeconds(length);
  engine.prefillEnds = this->loop.Now() + length;
  this->loop.After(length, [this, job] {
    if (this->engines[job->engine].prefilling == job) {
      this->FirstToken(job);
    }
  });
}

void
Simulation::CountWork(const Job& aJob, double aWork)
{
  const auto cached = static_cast<std::uint64_t>(
    (static_cast<double>(aJob.prompt->tokens) - aWork) / static_cast<double>(kBlockTokens));
  std::uint64_t again = 0;
  for (std::uint64_t at = cached; at < aJob.route.blocks.size(); ++at) {
    again += this->computed.insert(BlockHint(aJob.route.blocks[at])).second ? 0 : 1;
  }
  if (this->Measured()) {
    this->promptTokens += static_cast<double>(aJob.prompt->tokens);
    this->recomputedTokens += static_cast<double>(again * kBlockTokens);
  }
}

void
Simulation::FirstToken(const JobPtr& aJob)
{
  Engine& engine = this->engines[aJob->engine];
  engine.prefilling.reset();
  engine.running.push_back(aJob);
  if (this->Measured()) {
    this->firstTokens.push_back(ToSeconds(this->loop.Now() - aJob->prompt->at));
  }
  if (!this->IsOracle()) {
    Router& router = *this->routers[aJob->prompt->host % this->routers.size()];
    router.OnFirstToken(aJob->route, aJob->decision, this->loop.Now() - aJob->sentAt, TokenCount());
    CacheEvent change;
    engine.cache.Insert(*aJob->blocks, aJob->route.blocks.size(), change);
    this->PublishCache(aJob->engine, std::move(change));
  }
  const auto tokens = static_cast<std::int64_t>(aJob->prompt->answerTokens);
  this->loop.After(this->user.tokenInterval * tokens, [this, aJob] { this->Finish(aJob); });
  this->StartPrefill(aJob->engine);
}

void
Simulation::Finish(const JobPtr& aJob)
{
  Engine& engine = this->engines[aJob->engine];
  if (std::erase(engine.running, aJob) == 0) {
    return;
  }
  --this->open;
  const std::uint64_t tokens = aJob->prompt->tokens + aJob->prompt->answerTokens;
  const std::uint64_t whole = std::min<std::uint64_t>(tokens / kBlockTokens, aJob->blocks->size());
  if (this->IsOracle()) {
    for (std::uint64_t at = 0; at < whole; ++at) {
      this->computed.insert(BlockHint((*aJob->blocks)[at]));
    }
    this->StartPrefill(aJob->engine);
    return;
  }
  this->routers[aJob->prompt->host % this->routers.size()]->OnDone(
    aJob->route, aJob->decision, engine.alive);
  if (!engine.alive) {
    return;
  }
  for (std::uint64_t at = aJob->route.blocks.size(); at < whole; ++at) {
    this->computed.insert(BlockHint((*aJob->blocks)[at]));
  }
  CacheEvent change;
  engine.cache.Insert(*aJob->blocks, whole, change);
  this->PublishCache(aJob->engine, std::move(change));
  this->Offer(*aJob, whole);
  this->StartPrefill(aJob->engine);
}

void
Simulation::PublishCache(std::uint32_t aEngine, CacheEvent aChange)
{
  if (this->costRouters.empty() || (aChange.added.empty() && aChange.removed.empty())) {
    return;
  }
  Engine& engine = this->engines[aEngine];
  engine.events = engine.events.Next();
  aChange.target = engine.id;
  aChange.incarnation = Incarnation(1);
  aChange.sequence = engine.events;
  const auto event = std::make_shared<CacheEvent>(std::move(aChange));
  this->loop.After(kEventDelay, [this, event, aEngine] {
    for (std::uint32_t host = 0; host < kHosts; ++host) {
      const std::uint64_t chance = this->random() % 1000;
      if (chance < kLostOfThousand) {
        continue;
      }
      PrefixCacheIndex& caches = this->costRouters[host]->Caches();
      caches.OnEvent(*event);
      if (chance < 2 * kLostOfThousand) {
        caches.OnEvent(*event);
      }
      this->Rebuild(host, aEngine);
    }
  });
}

void
Simulation::Rebuild(std::uint32_t aHost, std::uint32_t aEngine)
{
  PrefixCacheIndex& caches = this->costRouters[aHost]->Caches();
  const std::pair<std::uint32_t, std::uint32_t> key(aHost, aEngine);
  if (!caches.IsStale(this->engines[aEngine].id) || !this->rebuilding.insert(key).second) {
    return;
  }
  this->loop.After(kSnapshotDelay, [this, key, &caches] {
    const Engine& source = this->engines[key.second];
    caches.OnSnapshot({ source.id, Incarnation(1), source.events, source.cache.All() });
    this->rebuilding.erase(key);
  });
}

void
Simulation::Offer(const Job& aJob, std::uint64_t aBlocks)
{
  HashedPrompt offer;
  offer.scope = this->ScopeOf(aJob);
  offer.blocks.assign(aJob.blocks->begin(),
                      aJob.blocks->begin() + static_cast<std::ptrdiff_t>(aBlocks));
  offer.returning = aJob.returning;
  offer.objective = this->user.objective;
  offer.prefillRate = this->user.prefillRate;
  // The store that keeps most of it already, else the one whose link is less busy.
  std::uint32_t best = kStores;
  std::pair<std::uint64_t, double> bestRank;
  for (std::uint32_t number = 0; number < kStores; ++number) {
    if (this->IsCut(aJob.prompt->host, number)) {
      continue;
    }
    Store& store = this->stores[number];
    store.owner->OnAnswered(offer);
    const std::uint64_t kept = store.owner->CountStoredBlocks(offer);
    const std::pair<std::uint64_t, double> rank(kept, -static_cast<double>(store.offers.size()));
    if (best == kStores || rank > bestRank) {
      best = number;
      bestRank = rank;
    }
  }
  if (best == kStores || this->stores[best].offers.size() >= kMostOffers) {
    return;
  }
  this->stores[best].offers.push_back({ std::move(offer), aJob.engine });
  this->Pump(best);
}

void
Simulation::Pump(std::uint32_t aStore)
{
  Store& store = this->stores[aStore];
  while (!store.pumping && !store.offers.empty()) {
    store.owner->Expire();
    store.owner->TakeFreed();
    store.owner->TakeDemoted();
    const Store::Offer& offer = store.offers.front();
    auto grant = store.owner->GrantExport(offer.keep);
    if (!grant && grant.error().kind == ErrorKind::Overloaded) {
      store.pumping = true;
      this->loop.After(kRetryExport, [this, aStore] {
        this->stores[aStore].pumping = false;
        this->Pump(aStore);
      });
      return;
    }
    if (!grant) {
      store.offers.pop_front();
      continue;
    }
    this->Export(aStore, grant.value(), offer.engine);
  }
}

void
Simulation::Export(std::uint32_t aStore, const ExportGrant& aGrant, std::uint32_t aEngine)
{
  Store& store = this->stores[aStore];
  // What the engine has dropped meanwhile can't be exported.
  std::vector<ExportedBlock> exported;
  for (const ReservedBlock& block : aGrant.blocks) {
    if (this->engines[aEngine].alive && this->engines[aEngine].cache.Holds(block.block)) {
      exported.push_back({ block.block, block.generation, block.length, Checksum(1) });
    }
  }
  const bool all = exported.size() == aGrant.blocks.size();
  if (!all && !store.offers.empty()) {
    store.offers.pop_front();
  }
  store.pumping = true;
  StoreManager* owner = store.owner.get();
  const auto bytes = static_cast<double>(exported.size() * this->BlockBytes());
  store.link->Start(false, bytes, [=, this](Duration aElapsed) {
    if (this->stores[aStore].owner.get() == owner) {
      owner->OnExported(aGrant, exported, aElapsed);
    }
    this->stores[aStore].pumping = false;
    this->Pump(aStore);
  });
}

} // namespace damasklink::bench
