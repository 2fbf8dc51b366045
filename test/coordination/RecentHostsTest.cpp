#include "damasklink/coordination/RecentHosts.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

TEST(RecentHostsTest, KeepsUnseenHostForRetentionTime)
{
  const HostId near("near");
  const HostId far("far");
  ManualClock clock;
  RecentHosts recent;
  recent.Update({ near, far }, clock.MonotonicNow());
  clock.Advance(RecentHosts::kRetention);
  recent.Update({ near }, clock.MonotonicNow());
  EXPECT_EQ(recent.All(), (std::set<HostId>{ near, far }));
  clock.Advance(std::chrono::milliseconds(1));
  recent.Update({ near }, clock.MonotonicNow());
  EXPECT_EQ(recent.All(), std::set<HostId>{ near });
}

} // namespace
} // namespace damasklink
