#include "damasklink/coordination/RecentHosts.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

TEST(RecentHostsTest, AHostThatIsOutOfTouchKeepsItsPlaceForAWhile)
{
  const HostId near("near");
  const HostId far("far");
  ManualClock clock;
  RecentHosts recent;
  recent.Note({ near, far }, clock.MonotonicNow());
  clock.Advance(RecentHosts::kMemory);
  recent.Note({ near }, clock.MonotonicNow());
  EXPECT_EQ(recent.All(), (std::set<HostId>{ near, far }));
  clock.Advance(std::chrono::milliseconds(1));
  recent.Note({ near }, clock.MonotonicNow());
  EXPECT_EQ(recent.All(), std::set<HostId>{ near });
}

} // namespace
} // namespace damasklink
