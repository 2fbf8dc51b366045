#include "damasklink/transport/LogLineQueue.h"

#include <vector>

#include <gtest/gtest.h>

namespace damasklink {
namespace {

std::string
Line(const std::string& aLevel, const std::string& aEvent, const std::string& aRest = "")
{
  return "time=t level=" + aLevel + " event=" + aEvent + aRest;
}

class LogLineQueueTest : public ::testing::Test
{
protected:
  // Takes the lines while the reader has room.
  bool Write(const std::string& aLine)
  {
    if (this->room == 0) {
      return false;
    }
    --this->room;
    this->written.push_back(aLine);
    return true;
  }

  int room = 0;
  std::vector<std::string> written;
  LogLineQueue queue{ [this](const std::string& aLine) { return this->Write(aLine); } };
};

TEST_F(LogLineQueueTest, LinesAreWrittenAtOnce)
{
  this->room = 10;
  this->queue.Add(Line("info", "a"));
  this->queue.Add(Line("warning", "b"));
  ASSERT_EQ(this->written.size(), 2U);
  EXPECT_EQ(this->written[0], Line("info", "a") + "\n");
  EXPECT_EQ(this->written[1], Line("warning", "b") + "\n");
}

// Guards against the line of a lost request that is itself lost because the reader is slow.
TEST_F(LogLineQueueTest, WarningsAndErrorsOutliveASlowReader)
{
  this->queue.Add(Line("warning", "lost", " request=r1"));
  this->queue.Add(Line("info", "other_thing"));
  this->queue.Add(Line("error", "lost", " request=r2"));
  EXPECT_TRUE(this->written.empty());
  this->room = 10;
  this->queue.Add(Line("info", "later"));
  ASSERT_EQ(this->written.size(), 4U);
  EXPECT_EQ(this->written[0], Line("warning", "lost", " request=r1") + "\n");
  EXPECT_EQ(this->written[1], Line("error", "lost", " request=r2") + "\n");
  EXPECT_EQ(this->written[2],
            "level=warning event=log_lines_dropped count=1 by_event=other_thing:1,other:0\n");
  EXPECT_EQ(this->written[3], Line("info", "later") + "\n");
}

// Guards against a line that is written before earlier ones.
TEST_F(LogLineQueueTest, OrderOfWarningsIsKept)
{
  for (int number = 0; number < 5; ++number) {
    this->queue.Add(Line("warning", "lost", " n=" + std::to_string(number)));
  }
  this->room = 3;
  this->queue.Add(Line("warning", "lost", " n=5"));
  this->room = 10;
  this->queue.Add(Line("warning", "lost", " n=6"));
  ASSERT_EQ(this->written.size(), 7U);
  for (int number = 0; number < 7; ++number) {
    EXPECT_EQ(this->written[static_cast<std::size_t>(number)],
              Line("warning", "lost", " n=" + std::to_string(number)) + "\n");
  }
}

// Guards against memory that grows while nobody reads, and losses that nobody counts.
TEST_F(LogLineQueueTest, KeptLinesAreBoundedAndTheRestIsCounted)
{
  const std::string filler = " text=" + std::string(1000, 'x');
  for (int number = 0; number < 1000; ++number) {
    this->queue.Add(Line("warning", "lost", filler));
  }
  this->room = 10'000;
  this->queue.Add(Line("info", "later"));
  const std::size_t bytes = Line("warning", "lost", filler).size();
  const std::size_t kept = LogLineQueue::kMostKeptBytes / bytes;
  ASSERT_EQ(this->written.size(), kept + 2);
  const std::string dropped = std::to_string(1000 - kept);
  EXPECT_EQ(this->written[kept],
            "level=warning event=log_lines_dropped count=" + dropped + " by_event=lost:" + dropped +
              ",other:0\n");
}

// Guards against a report that is longer than what can be written at once.
TEST_F(LogLineQueueTest, ReportNamesTheMostFrequentEvents)
{
  for (int event = 0; event < 200; ++event) {
    this->queue.Add(Line("info", "event_" + std::to_string(event)));
  }
  this->queue.Add(Line("info", "event_7"));
  this->room = 10;
  this->queue.Add(Line("info", "later"));
  ASSERT_EQ(this->written.size(), 2U);
  const std::string& report = this->written[0];
  EXPECT_NE(report.find(" count=201 by_event=event_7:2,"), std::string::npos) << report;
  EXPECT_NE(report.find(",other:184\n"), std::string::npos) << report;
}

} // namespace
} // namespace damasklink
