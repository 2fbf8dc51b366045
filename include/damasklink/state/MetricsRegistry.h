// Keeps counters and quantiles in memory, with a bounded number of series.
#pragma once

#include <cstddef>
#include <memory>
#include <vector>

#include "damasklink/state/Clock.h"
#include "damasklink/state/Metrics.h"

namespace damasklink {

// One counter as it stood when the snapshot was taken.
struct CounterSeries
{
  Counter counter{};
  MetricKey key;
  std::uint64_t value = 0;
};

// Quantiles of one sample; seconds.
struct SampleSeries
{
  Sample sample{};
  MetricKey key;
  // Since the process began.
  std::uint64_t count = 0;
  double sum = 0;
  // Over the last five to ten minutes; zero when nothing was observed in that time.
  double p50 = 0;
  double p95 = 0;
  double p99 = 0;
};

struct MetricsSnapshot
{
  std::vector<CounterSeries> counters;
  std::vector<SampleSeries> samples;
};

// How many requests of a workspace met its service-level objective, and how many there were.
struct ServiceLevelCount
{
  std::uint64_t good = 0;
  std::uint64_t total = 0;

  bool operator==(const ServiceLevelCount&) const = default;
};

// Takes each request that counts against a service-level objective. Safe from any thread.
class ServiceLevelSink
{
public:
  virtual ~ServiceLevelSink() = default;
  virtual void Count(const WorkspaceId& aWorkspace, bool aGood) = 0;
};

// Records into memory; what is served on /metrics.
//
//   MetricsRegistry registry(clock, levels, kMostMetricSeries);
//   registry.Add(Counter::Requests, { workspace, "" }, 1);
//   registry.Snapshot();
//
// Each counter and each sample keeps at most aMostSeries keys. Later keys are folded into the one
// series of workspace kOtherSeries, so that memory stays bounded whatever callers send. Safe from
// any thread: a record takes the lock of its own counter or sample for a few hundred nanoseconds.
class MetricsRegistry final : public Metrics
{
public:
  MetricsRegistry(const Clock& aClock, ServiceLevelSink& aServiceLevels, std::size_t aMostSeries);
  ~MetricsRegistry() override;

  void Add(Counter aCounter, const MetricKey& aKey, std::uint64_t aAmount) override;
  void Observe(Sample aSample, const MetricKey& aKey, Duration aValue) override;
  void CountServiceLevel(const WorkspaceId& aWorkspace, bool aGood) override;

  // Returns all series, ordered by metric and key.
  MetricsSnapshot Snapshot() const;

private:
  class CounterTable;
  class SampleTable;

  CounterTable& TableOf(Counter aCounter) const;
  SampleTable& TableOf(Sample aSample) const;

  const Clock& clock;
  ServiceLevelSink& serviceLevels;
  std::vector<std::unique_ptr<CounterTable>> counters;
  std::vector<std::unique_ptr<SampleTable>> samples;
};

// Series that one counter or sample may have on a host.
constexpr std::size_t kMostMetricSeries = 512;

// The workspace name under which keys beyond the bound are counted.
constexpr const char* kOtherSeries = "other";

} // namespace damasklink
