#include "program/WorkAccount.h"

#include <map>

#include <gtest/gtest.h>

namespace damasklink {
namespace {

// Remembers what was counted, by counter and kind.
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

class WorkAccountTest : public ::testing::Test
{
protected:
  std::uint64_t Count(Counter aCounter, Work aWork)
  {
    return this->metrics.counts[{ aCounter, std::string(WorkName(aWork)) }];
  }

  void Publish()
  {
    this->clock.Advance(std::chrono::seconds(1));
    this->account.Step();
  }

  ManualClock clock;
  CountingMetrics metrics;
  WorkAccount account{ this->clock, this->metrics };
};

TEST_F(WorkAccountTest, WorkWithinOtherWorkCountsForItselfAlone)
{
  {
    const WorkTimer outer(this->account, Work::Loads);
    this->clock.Advance(std::chrono::microseconds(10));
    {
      const WorkTimer inner(this->account, Work::Totals);
      this->clock.Advance(std::chrono::microseconds(30));
    }
    this->clock.Advance(std::chrono::microseconds(5));
  }
  this->Publish();
  EXPECT_EQ(this->Count(Counter::WorkMicroseconds, Work::Loads), 15U);
  EXPECT_EQ(this->Count(Counter::WorkMicroseconds, Work::Totals), 30U);
}

TEST_F(WorkAccountTest, TimeBetweenWorksCountsForNone)
{
  {
    const WorkTimer timer(this->account, Work::Pictures);
  }
  this->Publish();
  EXPECT_EQ(this->Count(Counter::WorkMicroseconds, Work::Pictures), 0U);
}

TEST_F(WorkAccountTest, MessagesAndBytesAreCountedOnce)
{
  this->account.NoteSent(Work::Totals, 100);
  this->account.NoteSent(Work::Totals, 50);
  this->account.NoteHeard(Work::Loads, 7);
  this->Publish();
  this->Publish();
  EXPECT_EQ(this->Count(Counter::PeerMessagesOut, Work::Totals), 2U);
  EXPECT_EQ(this->Count(Counter::PeerBytesOut, Work::Totals), 150U);
  EXPECT_EQ(this->Count(Counter::PeerMessagesIn, Work::Loads), 1U);
  EXPECT_EQ(this->Count(Counter::PeerBytesIn, Work::Loads), 7U);
}

} // namespace
} // namespace damasklink
