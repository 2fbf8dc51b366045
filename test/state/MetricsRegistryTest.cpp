#include "damasklink/state/MetricsRegistry.h"

#include <set>
#include <thread>

#include <gtest/gtest.h>

namespace damasklink {
namespace {

constexpr std::size_t kMostSeries = 4;

class RecordingSink final : public ServiceLevelSink
{
public:
  void Count(const WorkspaceId& aWorkspace, bool aGood) override
  {
    this->counted.emplace_back(aWorkspace, aGood);
  }

  std::vector<std::pair<WorkspaceId, bool>> counted;
};

class MetricsRegistryTest : public testing::Test
{
protected:
  ManualClock clock;
  RecordingSink levels;
  MetricsRegistry registry{ clock, levels, kMostSeries };
};

TEST_F(MetricsRegistryTest, KeepsCountersApartByWorkspaceAndKind)
{
  registry.Add(Counter::Refusals, { WorkspaceId("a"), "overloaded" }, 2);
  registry.Add(Counter::Refusals, { WorkspaceId("a"), "overloaded" }, 3);
  registry.Add(Counter::Refusals, { WorkspaceId("a"), "not_found" }, 1);
  const auto counters = registry.Snapshot().counters;
  ASSERT_EQ(counters.size(), 2U);
  EXPECT_EQ(counters.at(0).key.kind, "not_found");
  EXPECT_EQ(counters.at(1).value, 5U);
}

TEST_F(MetricsRegistryTest, FoldsSeriesBeyondTheBoundAndLosesNoCount)
{
  constexpr int kWorkspaces = 1000;
  for (int index = 0; index < kWorkspaces; ++index) {
    const MetricKey key{ WorkspaceId(std::to_string(index)), "" };
    registry.Add(Counter::Requests, key, 1);
    registry.Observe(Sample::FirstToken, key, std::chrono::milliseconds(1));
  }
  const auto snapshot = registry.Snapshot();
  EXPECT_EQ(snapshot.counters.size(), kMostSeries + 1);
  EXPECT_EQ(snapshot.samples.size(), kMostSeries + 1);
  std::uint64_t counted = 0;
  std::uint64_t other = 0;
  for (const CounterSeries& series : snapshot.counters) {
    counted += series.value;
    other += series.key.workspace.Value() == kOtherSeries ? series.value : 0;
  }
  EXPECT_EQ(counted, kWorkspaces);
  EXPECT_EQ(other, kWorkspaces - kMostSeries);
}

TEST_F(MetricsRegistryTest, SumsDurationsInSeconds)
{
  const MetricKey key{ WorkspaceId("a"), "" };
  registry.Observe(Sample::FirstToken, key, std::chrono::milliseconds(250));
  registry.Observe(Sample::FirstToken, key, std::chrono::milliseconds(750));
  const SampleSeries series = registry.Snapshot().samples.at(0);
  EXPECT_EQ(series.count, 2U);
  EXPECT_DOUBLE_EQ(series.sum, 1.0);
  EXPECT_DOUBLE_EQ(series.p99, 0.75);
}

TEST_F(MetricsRegistryTest, PassesServiceLevelsOn)
{
  registry.CountServiceLevel(WorkspaceId("a"), false);
  EXPECT_EQ(levels.counted.at(0), std::make_pair(WorkspaceId("a"), false));
}

TEST_F(MetricsRegistryTest, CountsFromManyThreadsAddUp)
{
  constexpr int kThreads = 4;
  constexpr int kEach = 5000;
  std::vector<std::thread> threads;
  for (int index = 0; index < kThreads; ++index) {
    threads.emplace_back([&] {
      for (int count = 0; count < kEach; ++count) {
        registry.Add(Counter::AnswerTokens, { WorkspaceId("a"), "" }, 1);
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  EXPECT_EQ(registry.Snapshot().counters.at(0).value, kThreads * kEach);
}

} // namespace
} // namespace damasklink
