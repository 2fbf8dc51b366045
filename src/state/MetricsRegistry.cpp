#include "damasklink/state/MetricsRegistry.h"

#include <chrono>
#include <map>
#include <utility>

#include <absl/container/flat_hash_map.h>

#include "damasklink/state/RecentQuantiles.h"

namespace damasklink {
namespace {

using KeyPair = std::pair<WorkspaceId, std::string>;

// Maps keys to series and folds what is beyond the bound. Requires the lock of its table.
template<typename Series>
class SeriesMap
{
public:
  explicit SeriesMap(std::size_t aMost)
    : most(aMost)
  {
  }

  // Returns the series of the key, made by aMake() when it is new.
  template<typename Make>
  Series& At(const MetricKey& aKey, const Make& aMake)
  {
    KeyPair key(aKey.workspace, aKey.kind);
    if (auto found = this->series.find(key); found != this->series.end()) {
      return found->second;
    }
    if (this->series.size() >= this->most) {
      key = KeyPair(WorkspaceId(kOtherSeries), "");
    }
    return this->series.try_emplace(std::move(key), aMake()).first->second;
  }

  // Visits all series in the order of their keys.
  template<typename Visit>
  void ForEach(const Visit& aVisit)
  {
    std::map<KeyPair, Series*> ordered;
    for (auto& [key, value] : this->series) {
      ordered.emplace(key, &value);
    }
    for (const auto& [key, value] : ordered) {
      aVisit(MetricKey{ key.first, key.second }, *value);
    }
  }

private:
  std::size_t most;
  absl::flat_hash_map<KeyPair, Series> series;
};

struct SampleState
{
  RecentQuantiles quantiles;
  std::uint64_t count = 0;
  double sum = 0;
};

} // namespace

class MetricsRegistry::CounterTable
{
public:
  explicit CounterTable(std::size_t aMostSeries)
    : series(aMostSeries)
  {
  }

  void Add(const MetricKey& aKey, std::uint64_t aAmount)
  {
    absl::MutexLock lock(&this->mutex);
    this->series.At(aKey, [] { return std::uint64_t{ 0 }; }) += aAmount;
  }

  void AppendTo(std::vector<CounterSeries>& aTo, Counter aCounter)
  {
    absl::MutexLock lock(&this->mutex);
    this->series.ForEach([&](MetricKey aKey, std::uint64_t aValue) {
      aTo.push_back(CounterSeries{ aCounter, std::move(aKey), aValue });
    });
  }

private:
  absl::Mutex mutex;
  SeriesMap<std::uint64_t> series ABSL_GUARDED_BY(mutex);
};

class MetricsRegistry::SampleTable
{
public:
  explicit SampleTable(std::size_t aMostSeries)
    : series(aMostSeries)
  {
  }

  void Observe(const MetricKey& aKey, double aSeconds, MonotonicTime aNow)
  {
    absl::MutexLock lock(&this->mutex);
    SampleState& state = this->series.At(aKey, [&] {
      return SampleState{ RecentQuantiles(aNow), 0, 0 };
    });
    state.quantiles.Observe(aSeconds, aNow);
    state.count += 1;
    state.sum += aSeconds;
  }

  void AppendTo(std::vector<SampleSeries>& aTo, Sample aSample, MonotonicTime aNow)
  {
    absl::MutexLock lock(&this->mutex);
    this->series.ForEach([&](MetricKey aKey, SampleState& aState) {
      const RecentQuantiles::Values values = aState.quantiles.Estimate(aNow);
      aTo.push_back(SampleSeries{
        aSample, std::move(aKey), aState.count, aState.sum, values.p50, values.p95, values.p99 });
    });
  }

private:
  absl::Mutex mutex;
  SeriesMap<SampleState> series ABSL_GUARDED_BY(mutex);
};

MetricsRegistry::MetricsRegistry(const Clock& aClock,
                                 ServiceLevelSink& aServiceLevels,
                                 std::size_t aMostSeries)
  : clock(aClock)
  , serviceLevels(aServiceLevels)
{
  for (std::size_t index = 0; index < kCounterCount; ++index) {
    this->counters.push_back(std::make_unique<CounterTable>(aMostSeries));
  }
  for (std::size_t index = 0; index < kSampleCount; ++index) {
    this->samples.push_back(std::make_unique<SampleTable>(aMostSeries));
  }
}

MetricsRegistry::~MetricsRegistry() = default;

void
MetricsRegistry::Add(Counter aCounter, const MetricKey& aKey, std::uint64_t aAmount)
{
  this->TableOf(aCounter).Add(aKey, aAmount);
}

void
MetricsRegistry::Observe(Sample aSample, const MetricKey& aKey, Duration aValue)
{
  const double seconds = std::chrono::duration<double>(aValue).count();
  this->TableOf(aSample).Observe(aKey, seconds, this->clock.MonotonicNow());
}

void
MetricsRegistry::CountServiceLevel(const WorkspaceId& aWorkspace, bool aGood)
{
  this->serviceLevels.Count(aWorkspace, aGood);
}

MetricsSnapshot
MetricsRegistry::Snapshot() const
{
  MetricsSnapshot snapshot;
  for (std::size_t index = 0; index < kCounterCount; ++index) {
    this->counters.at(index)->AppendTo(snapshot.counters, static_cast<Counter>(index));
  }
  const MonotonicTime now = this->clock.MonotonicNow();
  for (std::size_t index = 0; index < kSampleCount; ++index) {
    this->samples.at(index)->AppendTo(snapshot.samples, static_cast<Sample>(index), now);
  }
  return snapshot;
}

MetricsRegistry::CounterTable&
MetricsRegistry::TableOf(Counter aCounter) const
{
  return *this->counters.at(static_cast<std::size_t>(aCounter));
}

MetricsRegistry::SampleTable&
MetricsRegistry::TableOf(Sample aSample) const
{
  return *this->samples.at(static_cast<std::size_t>(aSample));
}

} // namespace damasklink
