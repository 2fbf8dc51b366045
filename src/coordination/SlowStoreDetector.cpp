#include "damasklink/coordination/SlowStoreDetector.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

namespace damasklink {

void
SlowStoreDetector::Observe(const std::string& aStore, double aExcess)
{
  const double excess = std::max(aExcess, 0.0);
  StoreExcess& note = this->unreported[aStore];
  note.store = aStore;
  ++note.count;
  note.total += excess;
  this->Add(aStore, 1, excess);
}

void
SlowStoreDetector::Add(const std::string& aStore, std::uint64_t aCount, double aTotal)
{
  const double excess = aTotal / static_cast<double>(aCount);
  Mean& mean = this->means[aStore];
  // As if each of them had been added by itself.
  const double weight = 1 - std::pow(1 - kSmoothing, static_cast<double>(aCount));
  mean.excess = mean.observations == 0 ? excess : mean.excess + weight * (excess - mean.excess);
  mean.observations = std::min(mean.observations + aCount, kMinObservations);
}

std::vector<StoreExcess>
SlowStoreDetector::TakeObservations()
{
  std::vector<StoreExcess> notes;
  for (auto& [store, note] : std::exchange(this->unreported, {})) {
    notes.push_back(std::move(note));
  }
  return notes;
}

void
SlowStoreDetector::Merge(const std::vector<StoreExcess>& aNotes)
{
  for (const StoreExcess& note : aNotes) {
    if (note.count > 0) {
      this->Add(note.store, note.count, note.total);
    }
  }
}

bool
SlowStoreDetector::IsSlow(const std::string& aStore, double aPrefillTime) const
{
  const auto found = this->means.find(aStore);
  if (found == this->means.end() || found->second.observations < kMinObservations) {
    return false;
  }
  std::optional<double> best;
  for (const auto& [store, mean] : this->means) {
    if (store != aStore && mean.observations >= kMinObservations) {
      best = best ? std::min(*best, mean.excess) : mean.excess;
    }
  }
  const double worthWaiting = std::max(kMinSlowMargin, kPrefillCostFactor * aPrefillTime);
  return best && found->second.excess > 2 * *best + worthWaiting;
}

bool
SlowStoreDetector::ShouldFetch(const std::string& aStore, double aPrefillTime)
{
  return !this->IsSlow(aStore, aPrefillTime) || this->random() % kProbeInterval == 0;
}

} // namespace damasklink
