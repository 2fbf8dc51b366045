// Callers, admission and targets under a virtual clock, with the decisions that serve.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <vector>

#include "damasklink/coordination/AdmissionQueue.h"
#include "damasklink/coordination/ConcurrencyLimit.h"

namespace damasklink::bench {

// Each target runs so many requests at once; further ones wait inside it, first come first served.
constexpr std::size_t kTargets = 3;
constexpr std::size_t kSlots = 32;
// A request runs for a second on average, and its first token comes after a fifth of one.
constexpr double kMeanSeconds = 1.0;
constexpr double kFirstTokenSeconds = 0.2;
constexpr double kCapacityPerSecond = kTargets * kSlots / kMeanSeconds;
// Until limits have been learnt; first tokens are counted from then on.
constexpr double kWarmUpSeconds = 60;
// How long a caller waits for its answer, and how often it asks in all.
constexpr double kPatienceSeconds = 4;
constexpr int kMostAsked = 3;

struct Workload
{
  std::string workspace;
  std::uint64_t share = 1;
  // Requests a second at a time in seconds.
  std::function<double(double)> rate;
};

class OverloadSimulation
{
public:
  enum class Policy
  {
    Admission,       // Targets say how many requests they can run at once.
    AdmissionUntold, // They do not.
    None,            // Every request goes out at once, to the target with the fewest.
  };

  OverloadSimulation(Policy aPolicy, std::vector<Workload> aWorkloads, std::uint64_t aSeed);

  void Run(double aSeconds);

  // Returns answers a second over a stretch, as a part of the capacity.
  double Goodput(double aFrom, double aTo) const;

  // Returns the quantile of the first token times of a workspace, in seconds from its arrival.
  double FirstToken(const std::string& aWorkspace, double aQuantile) const;

  std::size_t MostWaiting() const { return this->mostWaiting; }

private:
  struct Request
  {
    std::size_t workload = 0;
    double asked = 0;
    double sent = 0;
    double firstToken = 0;
    int tries = 0;
    bool over = false;
    bool running = false;
    int target = -1;
    AdmissionId admission;
  };
  struct Target
  {
    ConcurrencyLimit limit;
    std::size_t running = 0;
    std::deque<std::size_t> waiting;
  };
  struct Event
  {
    double at;
    std::uint64_t number;
    std::function<void()> act;
    bool operator>(const Event& aOther) const
    {
      return std::tie(this->at, this->number) > std::tie(aOther.at, aOther.number);
    }
  };

  void At(double aTime, std::function<void()> aAct);
  void ScheduleArrival(std::size_t aWorkload);
  void Ask(std::size_t aRequest);
  void HandOut();
  void Send(std::size_t aRequest);
  void StartWaiting(Target& aTarget);
  void End(std::size_t aRequest, bool aAnswered);
  void GiveUp(std::size_t aRequest);
  void AskLater(std::size_t aRequest, double aWait);
  void SetCapacity();
  Target& ChooseTarget();

  bool admission;
  std::vector<Workload> workloads;
  std::mt19937_64 random;
  ManualClock clock;
  MonotonicTime zero = clock.MonotonicNow();
  double now = 0;
  std::uint64_t lastEvent = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
  AdmissionQueue queue{ clock, 1024 };
  std::map<AdmissionId, std::size_t> offered;
  std::vector<Target> targets{ kTargets };
  std::deque<Request> requests;
  std::vector<double> answeredAt;
  std::map<std::string, std::vector<double>> firstTokens;
  std::size_t mostWaiting = 0;
};

} // namespace damasklink::bench
