#include "damasklink/coordination/StorePace.h"

#include <algorithm>
#include <optional>

namespace damasklink {

void
StorePace::Note(const std::string& aStore, double aExcess)
{
  Mean& mean = this->means[aStore];
  const double excess = std::max(aExcess, 0.0);
  mean.excess = mean.seen == 0 ? excess : mean.excess + kWeight * (excess - mean.excess);
  mean.seen = std::min(mean.seen + 1, kLeastSeen);
}

bool
StorePace::IsSlow(const std::string& aStore) const
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
  return best && found->second.excess > 2 * *best + kSlowBy;
}

bool
StorePace::MayFetch(const std::string& aStore)
{
  return !this->IsSlow(aStore) || this->random() % kProbeOneIn == 0;
}

} // namespace damasklink
