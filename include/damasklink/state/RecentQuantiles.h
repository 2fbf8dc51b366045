// Quantiles of what was observed lately, in constant memory.
#pragma once

#include <cstdint>
#include <memory>

#include "damasklink/state/Clock.h"

namespace damasklink {

// Estimates p50, p95 and p99 with Boost.Accumulators' extended P-square algorithm.
//
//   RecentQuantiles quantiles(clock.MonotonicNow());
//   quantiles.Observe(0.012, now);
//   quantiles.Estimate(now).p95;
//
// The algorithm cannot forget, so two estimators run side by side, both take every value, and each
// kHalfWindow the older one starts anew. The estimate is the older one's and so covers the last
// one to two half windows. Up to kExactValues values it is exact. Not thread-safe.
class RecentQuantiles
{
public:
  static constexpr Duration kHalfWindow = std::chrono::minutes(5);
  static constexpr std::size_t kExactValues = 32;

  struct Values
  {
    double p50 = 0;
    double p95 = 0;
    double p99 = 0;
  };

  explicit RecentQuantiles(MonotonicTime aNow);
  ~RecentQuantiles();
  RecentQuantiles(RecentQuantiles&&) noexcept;
  RecentQuantiles& operator=(RecentQuantiles&&) noexcept;

  void Observe(double aValue, MonotonicTime aNow);

  // Returns zeros when nothing was observed lately.
  Values Estimate(MonotonicTime aNow);

private:
  class Estimator;

  // Starts estimators anew whose time is over.
  void Rotate(MonotonicTime aNow);

  MonotonicTime rotated;
  std::unique_ptr<Estimator> older;
  std::unique_ptr<Estimator> newer;
};

} // namespace damasklink
