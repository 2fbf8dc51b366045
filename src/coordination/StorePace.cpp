#include "damasklink/coordination/StorePace.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

namespace damasklink {

void
StorePace::Note(const std::string& aStore, double aExcess)
{
  const double excess = std::max(aExcess, 0.0);
  StoreFetchDelay& note = this->untold[aStore];
  note.store = aStore;
  ++note.count;
  note.total += excess;
  this->Add(aStore, 1, excess);
}

void
StorePace::Add(const std::string& aStore, std::uint64_t aCount, double aTotal)
{
  const double excess = aTotal / static_cast<double>(aCount);
  Mean& mean = this->means[aStore];
  // As if each of them had been added by itself.
  const double weight = 1 - std::pow(1 - kWeight, static_cast<double>(aCount));
  mean.excess = mean.seen == 0 ? excess : mean.excess + weight * (excess - mean.excess);
  mean.seen = std::min(mean.seen + aCount, kLeastSeen);
}

std::vector<StoreFetchDelay>
StorePace::TakeNotes()
{
  std::vector<StoreFetchDelay> notes;
  for (auto& [store, note] : std::exchange(this->untold, {})) {
    notes.push_back(std::move(note));
  }
  return notes;
}

void
StorePace::Take(const std::vector<StoreFetchDelay>& aNotes)
{
  for (const StoreFetchDelay& note : aNotes) {
    if (note.count > 0) {
      this->Add(note.store, note.count, note.total);
    }
  }
}

bool
StorePace::IsSlow(const std::string& aStore, double aReading) const
{
  const auto found = this->means.find(aStore);
  if (found == this->means.end() || found->second.seen < kLeastSeen) {
    return false;
  }
  std::optional<double> best;
  for (const auto& [store, mean] : this->means) {
    if (store != aStore && mean.seen >= kLeastSeen) {
      best = best ? std::min(*best, mean.excess) : mean.excess;
    }
  }
  const double worthWaiting = std::max(kSlowBy, kReadingCosts * aReading);
  return best && found->second.excess > 2 * *best + worthWaiting;
}

bool
StorePace::MayFetch(const std::string& aStore, double aReading)
{
  return !this->IsSlow(aStore, aReading) || this->random() % kProbeOneIn == 0;
}

} // namespace damasklink
