#include "damasklink/coordination/SlowStoreDetector.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

namespace damasklink {

void
SlowStoreDetector::Observe(const std::string& aStore, double aDelay)
{
  const double delay = std::max(aDelay, 0.0);
  StoreFetchDelay& observed = this->unreported[aStore];
  observed.store = aStore;
  ++observed.count;
  observed.total += delay;
  this->Add(aStore, 1, delay);
}

void
SlowStoreDetector::Add(const std::string& aStore, std::uint64_t aCount, double aTotal)
{
  const double delay = aTotal / static_cast<double>(aCount);
  Average& average = this->averages[aStore];
  // The same weight as if each observation had been added separately.
  const double weight = 1 - std::pow(1 - kSmoothing, static_cast<double>(aCount));
  average.delay =
    average.observations == 0 ? delay : average.delay + weight * (delay - average.delay);
  average.observations = std::min(average.observations + aCount, kMinObservationsPerStore);
}

std::vector<StoreFetchDelay>
SlowStoreDetector::TakeObservations()
{
  std::vector<StoreFetchDelay> taken;
  for (auto& [store, observed] : std::exchange(this->unreported, {})) {
    taken.push_back(std::move(observed));
  }
  return taken;
}

void
SlowStoreDetector::Merge(const std::vector<StoreFetchDelay>& aObservations)
{
  for (const StoreFetchDelay& observed : aObservations) {
    if (observed.count > 0) {
      this->Add(observed.store, observed.count, observed.total);
    }
  }
}

bool
SlowStoreDetector::IsSlow(const std::string& aStore, double aPrefillTime) const
{
  const auto found = this->averages.find(aStore);
  if (found == this->averages.end() || found->second.observations < kMinObservationsPerStore) {
    return false;
  }
  std::optional<double> best;
  for (const auto& [store, average] : this->averages) {
    if (store != aStore && average.observations >= kMinObservationsPerStore) {
      best = best ? std::min(*best, average.delay) : average.delay;
    }
  }
  const double margin = std::max(kMinSlowMargin, kPrefillCostFactor * aPrefillTime);
  return best && found->second.delay > 2 * *best + margin;
}

bool
SlowStoreDetector::ShouldFetch(const std::string& aStore, double aPrefillTime)
{
  return !this->IsSlow(aStore, aPrefillTime) || this->random() % kProbeInterval == 0;
}

} // namespace damasklink
