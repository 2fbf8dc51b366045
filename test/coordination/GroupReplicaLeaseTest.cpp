// Which leases a restarted group must wait for.
#include "damasklink/coordination/GroupReplica.h"

#include <gtest/gtest.h>

#include "support/GroupCluster.h"

namespace damasklink {
namespace {

using testing::GroupCluster;

// Length of a step of the cluster.
constexpr Duration kStep = std::chrono::milliseconds(50);

// A replica is lost with its disk, and so is any lease that it held; the replica that replaces it
// reports so.
TEST(GroupReplicaLeaseTest, ElectsBeforeElectionTimeoutWhenRestartedWithLostDisks)
{
  constexpr std::size_t kLost = 2;
  // If two candidates stand at once, both lose, because all remaining voters must vote for the same
  // one. Then the group waits for the election timeouts after all, which this number of seeds may
  // do.
  constexpr std::uint64_t kSplitVotes = 1;
  constexpr std::uint64_t kSeeds = 10;
  std::uint64_t early = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    GroupCluster cluster(5, seed);
    cluster.Run(std::chrono::seconds(6));
    const std::size_t leader = cluster.Leader().value();
    for (std::size_t node = 0; node < cluster.Size(); ++node) {
      cluster.Kill(node, true);
    }
    for (std::size_t step = 0; step < cluster.Size(); ++step) {
      const std::size_t node = (leader + step) % cluster.Size();
      if (step < kLost) {
        cluster.Wipe(node);
      } else {
        cluster.Start(node);
      }
    }
    cluster.Run(RaftTiming().electionTimeoutMin * 3 / 4);
    early += cluster.Leader().has_value() ? 1 : 0;
    cluster.HealAndCheck();
  }
  EXPECT_GE(early, kSeeds - kSplitVotes);
}

// The missing voter holds a lease: it was isolated just before the others restarted. The cluster
// asserts at each step that nobody commits in a later term while a lease is held.
TEST(GroupReplicaLeaseTest, WaitsForLeaseOfAMissingVoter)
{
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    GroupCluster cluster(3, seed);
    cluster.Run(std::chrono::seconds(6));
    const std::size_t old = cluster.Leader().value();
    cluster.Isolate(old);
    for (std::size_t node = 0; node < cluster.Size(); ++node) {
      if (node != old) {
        cluster.Kill(node, true);
        cluster.Start(node);
      }
    }
    for (Duration passed{}; passed < RaftTiming().electionTimeoutMin; passed += kStep) {
      cluster.Run(kStep);
      EXPECT_EQ(cluster.Leader().value_or(old), old);
    }
    cluster.HealAndCheck();
  }
}

} // namespace
} // namespace damasklink
