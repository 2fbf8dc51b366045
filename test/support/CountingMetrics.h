// Metrics that sum what is added, by counter and kind.
#pragma once

#include <map>
#include <string>
#include <utility>

#include "damasklink/state/Metrics.h"

namespace damasklink::testing {

class CountingMetrics final : public Metrics
{
public:
  void Add(Counter aCounter, const MetricKey& aKey, std::uint64_t aAmount) override
  {
    this->counts[{ aCounter, aKey.kind }] += aAmount;
  }
  void Observe(Sample /*aSample*/, const MetricKey& /*aKey*/, Duration /*aValue*/) override {}
  void CountServiceLevel(const WorkspaceId& /*aWorkspace*/, bool /*aGood*/) override {}

  std::uint64_t Count(Counter aCounter, const std::string& aKind = "") const
  {
    const auto found = this->counts.find({ aCounter, aKind });
    return found == this->counts.end() ? 0 : found->second;
  }

private:
  std::map<std::pair<Counter, std::string>, std::uint64_t> counts;
};

} // namespace damasklink::testing
