#include "program/WorkStatistics.h"

#include <map>

#include <gtest/gtest.h>

namespace damasklink {
namespace {

// Sums what was added, by counter and kind.
class CountingMetrics final : public Metrics
{
public:
  void Add(Counter aCounter, const MetricKey& aKey, std::uint64_t aAmount) override
  {
    this->counts[{ aCounter, aKey.kind }] += aAmount;
  }
  void Observe(Sample /*aSample*/, const MetricKey& /*aKey*/, Duration /*aValue*/) override {}
  void CountServiceLevel(const WorkspaceId& /*aWorkspace*/, bool /*aGood*/) override {}

  std::map<std::pair<Counter, std::string>, std::uint64_t> counts;
};

class WorkStatisticsTest : public ::testing::Test
{
protected:
  std::uint64_t Count(Counter aCounter, Work aWork)
  {
    return this->metrics.counts[{ aCounter, std::string(WorkName(aWork)) }];
  }

  void Publish()
  {
    this->clock.Advance(std::chrono::seconds(1));
    this->statistics.Step();
  }

  ManualClock clock;
  CountingMetrics metrics;
  WorkStatistics statistics{ this->clock, this->metrics };
};

TEST_F(WorkStatisticsTest, NestedWorkIsNotCountedForOuterWork)
{
  {
    const WorkTimer outer(this->statistics, Work::Loads);
    this->clock.Advance(std::chrono::microseconds(10));
    {
      const WorkTimer inner(this->statistics, Work::Totals);
      this->clock.Advance(std::chrono::microseconds(30));
    }
    this->clock.Advance(std::chrono::microseconds(5));
  }
  this->Publish();
  EXPECT_EQ(this->Count(Counter::WorkMicroseconds, Work::Loads), 15U);
  EXPECT_EQ(this->Count(Counter::WorkMicroseconds, Work::Totals), 30U);
}

TEST_F(WorkStatisticsTest, TimeBetweenTimersIsNotCounted)
{
  {
    const WorkTimer timer(this->statistics, Work::Pictures);
  }
  this->Publish();
  EXPECT_EQ(this->Count(Counter::WorkMicroseconds, Work::Pictures), 0U);
}

TEST_F(WorkStatisticsTest, PublishesMessagesAndBytesOnce)
{
  this->statistics.CountSent(Work::Totals, 100);
  this->statistics.CountSent(Work::Totals, 50);
  this->statistics.CountReceived(Work::Loads, 7);
  this->Publish();
  this->Publish();
  EXPECT_EQ(this->Count(Counter::PeerMessagesOut, Work::Totals), 2U);
  EXPECT_EQ(this->Count(Counter::PeerBytesOut, Work::Totals), 150U);
  EXPECT_EQ(this->Count(Counter::PeerMessagesIn, Work::Loads), 1U);
  EXPECT_EQ(this->Count(Counter::PeerBytesIn, Work::Loads), 7U);
}

} // namespace
} // namespace damasklink
