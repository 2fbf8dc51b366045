#include "damasklink/state/RecentQuantiles.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <vector>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>

namespace damasklink {
namespace {

namespace accumulators = boost::accumulators;

constexpr std::array<double, 3> kProbabilities{ 0.50, 0.95, 0.99 };

using Accumulator =
  accumulators::accumulator_set<double, accumulators::stats<accumulators::tag::extended_p_square>>;

// Returns the value at the probability by nearest rank. Requires that aSorted is not empty.
double
ExactQuantile(const std::vector<double>& aSorted, double aProbability)
{
  const double rank = std::ceil(aProbability * static_cast<double>(aSorted.size()));
  return aSorted.at(static_cast<std::size_t>(std::max(rank, 1.0)) - 1);
}

} // namespace

class RecentQuantiles::Estimator
{
public:
  void Observe(double aValue)
  {
    this->accumulator(aValue);
    if (this->first.size() <= kExactValues) {
      this->first.push_back(aValue);
    }
  }

  Values Estimate() const
  {
    if (this->first.empty()) {
      return {};
    }
    if (this->first.size() <= kExactValues) {
      std::vector<double> sorted = this->first;
      std::sort(sorted.begin(), sorted.end());
      return { ExactQuantile(sorted, kProbabilities[0]),
               ExactQuantile(sorted, kProbabilities[1]),
               ExactQuantile(sorted, kProbabilities[2]) };
    }
    const auto estimates = accumulators::extended_p_square(this->accumulator);
    return { estimates[0], estimates[1], estimates[2] };
  }

private:
  Accumulator accumulator{ accumulators::extended_p_square_probabilities = kProbabilities };
  // The first values, one more than kExactValues once there were more.
  std::vector<double> first;
};

RecentQuantiles::RecentQuantiles(MonotonicTime aNow)
  : rotated(aNow)
  , older(std::make_unique<Estimator>())
  , newer(std::make_unique<Estimator>())
{
}

RecentQuantiles::~RecentQuantiles() = default;
RecentQuantiles::RecentQuantiles(RecentQuantiles&&) noexcept = default;
RecentQuantiles&
RecentQuantiles::operator=(RecentQuantiles&&) noexcept = default;

void
RecentQuantiles::Observe(double aValue, MonotonicTime aNow)
{
  this->Rotate(aNow);
  this->older->Observe(aValue);
  this->newer->Observe(aValue);
}

RecentQuantiles::Values
RecentQuantiles::Estimate(MonotonicTime aNow)
{
  this->Rotate(aNow);
  return this->older->Estimate();
}

void
RecentQuantiles::Rotate(MonotonicTime aNow)
{
  const Duration age = aNow - this->rotated;
  if (age < kHalfWindow) {
    return;
  }
  this->older = std::move(this->newer);
  this->newer = std::make_unique<Estimator>();
  if (age >= 2 * kHalfWindow) {
    this->older = std::make_unique<Estimator>();
  }
  this->rotated = aNow;
}

} // namespace damasklink
