// What the policy bench runs the decision objects against: time, engines, links and baselines.
#pragma once

#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <queue>
#include <random>
#include <unordered_map>

#include "PolicySim.h"

namespace damasklink::bench {

inline double
ToSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

inline Duration
FromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(aSeconds));
}

// Runs actions in the order of their virtual times.
class EventLoop
{
public:
  using Action = std::function<void()>;

  void At(Duration aTime, Action aAction);
  void After(Duration aDelay, Action aAction) { this->At(this->now + aDelay, std::move(aAction)); }
  void Run();

  Duration Now() const { return this->now; }
  const Clock& GetClock() const { return this->clock; }

private:
  struct Event
  {
    Duration at{ 0 };
    std::uint64_t number = 0;
    Action action;
  };
  struct Later
  {
    bool operator()(const Event& aLeft, const Event& aRight) const
    {
      return std::tie(aLeft.at, aLeft.number) > std::tie(aRight.at, aRight.number);
    }
  };

  ManualClock clock;
  Duration now{ 0 };
  std::uint64_t lastNumber = 0;
  std::priority_queue<Event, std::vector<Event>, Later> events;
};

// The blocks of one engine, the least recently used ones go first.
class FakeCache
{
public:
  explicit FakeCache(std::uint64_t aMostBlocks)
    : mostBlocks(aMostBlocks)
  {
  }

  std::uint64_t Depth(const std::vector<Digest>& aBlocks) const;
  bool Holds(const Digest& aBlock) const;

  // Adds the first aCount blocks; tells what came and went.
  void Insert(const std::vector<Digest>& aBlocks, std::uint64_t aCount, CacheEvent& aChange);
  std::vector<Digest> All() const;

private:
  std::uint64_t mostBlocks;
  std::list<const Digest*> order;
  std::unordered_map<std::uint64_t, std::list<const Digest*>::iterator> places;
};

// Moves bytes one transfer after the other, imports first.
class FakeLink
{
public:
  using Arrived = std::function<void(Duration aElapsed)>;

  FakeLink(EventLoop& aLoop, double aBytesPerSecond)
    : loop(aLoop)
    , rate(aBytesPerSecond)
  {
  }

  std::uint64_t Start(bool aImport, double aBytes, Arrived aArrived);

  // Returns whether the transfer was still there.
  bool Cancel(std::uint64_t aTransfer);
  void SetRate(double aBytesPerSecond);
  double Imported() const { return this->imported; }
  double Exported() const { return this->exported; }

private:
  struct Transfer
  {
    std::uint64_t id = 0;
    bool import = false;
    double bytes = 0;
    Duration begun{ 0 };
    Arrived arrived;
  };

  void Settle();
  void Schedule();

  EventLoop& loop;
  double rate;
  double imported = 0;
  double exported = 0;
  std::uint64_t lastId = 0;
  std::uint64_t schedule = 0;
  Duration settledAt{ 0 };
  std::list<Transfer> transfers;
};

// Counts requests outstanding at each target, over all hosts at once: more than a real host knows.
class CountingRouter : public Router
{
public:
  explicit CountingRouter(PolicyKind aKind)
    : kind(aKind)
  {
  }

  Result<RouteDecision> Choose(const RouteRequest& aRequest,
                               const std::vector<TargetRecord>& aTargets) override;
  void OnSent(const RouteRequest& aRequest, const RouteDecision& aDecision) override;
  void OnFirstToken(const RouteRequest& /*aRequest*/,
                    const RouteDecision& /*aDecision*/,
                    Duration /*aElapsed*/,
                    TokenCount /*aReused*/) override
  {
  }
  void OnDone(const RouteRequest& aRequest, const RouteDecision& aDecision, bool aWhole) override;

  // Tells which conversation the next choice is for.
  void SetConversation(std::uint32_t aConversation) { this->conversation = aConversation; }

private:
  const TargetRecord* Pick(const std::vector<const TargetRecord*>& aTargets);

  PolicyKind kind;
  std::uint32_t conversation = 0;
  LeastLoadedRouter leastLoaded;
  std::map<TargetId, std::uint64_t> outstanding;
  std::mt19937_64 random{ 7 };
};

} // namespace damasklink::bench
