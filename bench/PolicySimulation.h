// The simulation behind RunPolicy(): one policy, one trace, one virtual clock.
#pragma once

#include <set>
#include <unordered_set>

#include "PolicyParts.h"
#include "damasklink/coordination/BlockNames.h"
#include "damasklink/coordination/StoreManager.h"

namespace damasklink::bench {

constexpr const char* kVersion = "v1";
constexpr const char* kModel = "model";

// One prompt on its way.
struct Job
{
  const TracePrompt* prompt = nullptr;
  const std::vector<Digest>* blocks = nullptr;
  RouteRequest route;
  RouteDecision decision;
  std::uint32_t engine = 0;
  bool returning = false;
  Duration sentAt{ 0 };
  // Tokens to compute, as of when it was queued.
  double work = 0;
};
using JobPtr = std::shared_ptr<Job>;

// A fake engine: one prefill after the other, then decoding in a slot.
struct Engine
{
  explicit Engine(std::uint64_t aCacheBlocks)
    : cache(aCacheBlocks)
  {
  }

  TargetId id;
  double rate = 0;
  FakeCache cache;
  std::deque<JobPtr> queue;
  JobPtr prefilling;
  std::vector<JobPtr> running;
  bool alive = true;
  Sequence events;
  double busy = 0;
  // Work of the prefill under way and of the queue, in tokens, at the time of the last change.
  double backlog = 0;
  Duration prefillEnds{ 0 };
};

// A fake store with its owner.
struct Store
{
  std::unique_ptr<StoreManager> owner;
  std::unique_ptr<FakeLink> link;
  struct Offer
  {
    HashedPrompt keep;
    std::uint32_t engine = 0;
  };
  std::deque<Offer> offers;
  bool pumping = false;
};

// Runs once. Hosts, engines and stores are numbered; zones follow from the numbers.
class Simulation
{
public:
  Simulation(const UserShape& aUser, const Trace& aTrace, const SimOptions& aOptions);
  SimResult Run();

private:
  bool IsOracle() const { return this->options.policy == PolicyKind::Oracle; }
  bool IsCost() const { return this->options.policy == PolicyKind::Cost; }
  bool During(FaultKind aFault) const;
  bool Measured() const { return this->loop.Now() >= this->trace.measuredFrom; }
  bool IsCut(std::uint32_t aHost, std::uint32_t aZone) const;

  void MakeStores();
  void ScheduleFaults();
  void LoseStore();
  void LoseTargets();
  void Wake();
  void Report();
  void Exchange();
  std::vector<TargetRecord> TargetsFor(std::uint32_t aHost) const;
  TargetRecord RecordOf(std::uint32_t aEngine);

  void Arrive(const TracePrompt& aPrompt);
  void Send(const JobPtr& aJob);
  void SendToBest(const JobPtr& aJob);
  void ChoosePlainImport(Job& aJob) const;
  void Import(const JobPtr& aJob, std::uint32_t aStore);
  void Transfer(const JobPtr& aJob,
                std::uint32_t aStore,
                const ImportGrant& aGrant,
                Duration aPatience);
  void Enqueue(const JobPtr& aJob);
  void StartPrefill(std::uint32_t aEngine);
  void FirstToken(const JobPtr& aJob);
  void Finish(const JobPtr& aJob);
  double Uncached(const Job& aJob, const Engine& aEngine) const;
  void CountWork(const Job& aJob, double aWork);
  void PublishCache(std::uint32_t aEngine, CacheEvent aChange);
  void Rebuild(std::uint32_t aHost, std::uint32_t aEngine);
  void Offer(const Job& aJob, std::uint64_t aBlocks);
  void Pump(std::uint32_t aStore);
  void Export(std::uint32_t aStore, const ExportGrant& aGrant, std::uint32_t aEngine);
  std::uint64_t BlockBytes() const { return this->user.store.bytesPerToken.Value() * kBlockTokens; }
  // Adds, or with -1 takes off, what the links have moved so far.
  void AddMoved(SimResult& aTo, double aSign) const;
  BlockScope ScopeOf(const Job& aJob) const;
  SimResult Results();

  const UserShape& user;
  const Trace& trace;
  SimOptions options;
  EventLoop loop;
  std::mt19937_64 random{ 11 };
  std::vector<Engine> engines;
  std::vector<Store> stores;
  std::vector<std::unique_ptr<Router>> routers;
  std::vector<CostRouter*> costRouters;
  CountingRouter* counting = nullptr;
  // Host and engine of cache views that wait for a snapshot.
  std::set<std::pair<std::uint32_t, std::uint32_t>> rebuilding;
  std::vector<TargetRecord> published;
  Sequence reports;
  bool awake = false;
  std::uint64_t open = 0;
  std::unordered_set<std::uint64_t> computed;
  std::vector<double> firstTokens;
  double promptTokens = 0;
  double recomputedTokens = 0;
  SimResult result;
  std::uint64_t unserved = 0;
};

} // namespace damasklink::bench
