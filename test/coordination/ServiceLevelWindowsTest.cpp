#include "damasklink/coordination/ServiceLevelWindows.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace damasklink {
namespace {

const WorkspaceId kWorkspace("a");

TEST(ServiceLevelWindowsTest, EachWindowExpiresAfterItsOwnLength)
{
  ManualClock clock;
  ServiceLevelWindows windows(clock, 8);
  windows.Count(kWorkspace, false);
  for (std::size_t index = 0; index < kBurnWindows.size(); ++index) {
    const Duration sinceCounted =
      index == 0 ? kBurnWindows[0] : kBurnWindows[index] - kBurnWindows[index - 1];
    clock.Advance(sinceCounted - ServiceLevelWindows::kBucket);
    EXPECT_EQ(windows.Counts().at(kWorkspace).at(index).total, 1U) << index;
    clock.Advance(ServiceLevelWindows::kBucket);
    EXPECT_EQ(windows.Counts().at(kWorkspace).at(index).total, 0U) << index;
  }
}

TEST(ServiceLevelWindowsTest, FoldsWorkspacesBeyondTheBound)
{
  const ManualClock clock;
  ServiceLevelWindows windows(clock, 2);
  for (const char* name : { "a", "b", "c", "d" }) {
    windows.Count(WorkspaceId(name), true);
  }
  const auto counts = windows.Counts();
  EXPECT_EQ(counts.size(), 3U);
  EXPECT_EQ(counts.at(WorkspaceId(kOtherSeries)).at(0).total, 2U);
}

// Compares the counts with a list of all events and their buckets.
RC_GTEST_PROP(ServiceLevelWindowsTest, CountsMatchAListOfEvents, ())
{
  ManualClock clock;
  ServiceLevelWindows windows(clock, 2);
  std::vector<std::pair<std::int64_t, bool>> events;
  const auto bucket = [&] {
    return clock.MonotonicNow().time_since_epoch() / ServiceLevelWindows::kBucket;
  };
  const auto steps = *rc::gen::container<std::vector<std::pair<int, bool>>>(
    rc::gen::pair(rc::gen::inRange(0, 3000), rc::gen::arbitrary<bool>()));
  for (const auto& [seconds, good] : steps) {
    clock.Advance(std::chrono::seconds(seconds));
    windows.Count(kWorkspace, good);
    events.emplace_back(bucket(), good);
  }
  RC_PRE(!events.empty());
  const WindowCounts counted = windows.Counts().at(kWorkspace);
  for (std::size_t index = 0; index < kBurnWindows.size(); ++index) {
    ServiceLevelCount expected;
    for (const auto& [at, good] : events) {
      if (at + kBurnWindows.at(index) / ServiceLevelWindows::kBucket > bucket()) {
        expected.total += 1;
        expected.good += good ? 1 : 0;
      }
    }
    RC_ASSERT(counted.at(index) == expected);
  }
}

} // namespace
} // namespace damasklink
