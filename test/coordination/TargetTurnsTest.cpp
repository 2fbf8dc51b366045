#include "damasklink/coordination/TargetTurns.h"

#include <algorithm>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace damasklink {
namespace {

constexpr int kTurns = 400;

std::vector<TargetTurns>
MakeHosts(const Clock& aClock, int aCount)
{
  std::vector<TargetTurns> hosts;
  for (int index = 0; index < aCount; ++index) {
    hosts.emplace_back(aClock, HostId("10.1.0." + std::to_string(index)));
  }
  return hosts;
}

TargetId
Target(int aIndex)
{
  return TargetId("t" + std::to_string(aIndex));
}

TEST(TargetTurnsTest, FewHostsHaveTheirTurnAtATarget)
{
  ManualClock clock;
  const std::vector<TargetTurns> hosts = MakeHosts(clock, 58);
  const double share = TargetTurns::ShareOf(58, 1000);
  int total = 0;
  int most = 0;
  for (int turn = 0; turn < kTurns; ++turn) {
    const auto having = std::count_if(hosts.begin(), hosts.end(), [&](const TargetTurns& aHost) {
      return aHost.Has(Target(0), share);
    });
    total += static_cast<int>(having);
    most = std::max(most, static_cast<int>(having));
    clock.Advance(TargetTurns::kTurn);
  }
  EXPECT_NEAR(static_cast<double>(total) / kTurns, TargetTurns::kHostsPerTurn, 0.4);
  EXPECT_LE(most, 10);
}

TEST(TargetTurnsTest, EachHostHasItsTurnAtSomeTargets)
{
  ManualClock clock;
  const std::vector<TargetTurns> hosts = MakeHosts(clock, 133);
  const double share = TargetTurns::ShareOf(133, 90);
  int total = 0;
  for (const TargetTurns& host : hosts) {
    for (int target = 0; target < 90; ++target) {
      total += host.Has(Target(target), share) ? 1 : 0;
    }
  }
  EXPECT_NEAR(total / 133.0, TargetTurns::kTargetsPerHost, 0.8);
}

TEST(TargetTurnsTest, NoHostIsLeftOut)
{
  ManualClock clock;
  for (const TargetTurns& host : MakeHosts(clock, 20)) {
    int turns = 0;
    for (int turn = 0; turn < kTurns; ++turn) {
      turns += host.Has(Target(3), TargetTurns::ShareOf(20, 1000)) ? 1 : 0;
      clock.Advance(TargetTurns::kTurn);
    }
    EXPECT_GT(turns, kTurns / 40);
  }
}

TEST(TargetTurnsTest, SingleHostAndUnknownNumberOfHostsHaveAllTurns)
{
  ManualClock clock;
  const TargetTurns host(clock, HostId("h"));
  EXPECT_TRUE(host.Has(Target(0), TargetTurns::ShareOf(1, 100)));
  EXPECT_TRUE(host.Has(Target(0), TargetTurns::ShareOf(0, 100)));
  EXPECT_TRUE(host.Has(Target(0), TargetTurns::ShareOf(50, 0)));
}

TEST(TargetTurnsTest, OthersAreAssumedToSendAsMuchInTheSameTurn)
{
  ManualClock clock;
  TargetTurns host(clock, HostId("h"));
  EXPECT_TRUE(host.Unseen(Target(0)).IsEmpty());
  host.OnSent(Target(0), LoadCounts{ 1, 200, 3000 });
  host.OnSent(Target(0), LoadCounts{ 1, 100, 1000 });
  EXPECT_EQ(host.Unseen(Target(0)), (LoadCounts{ 2, 300, 4000 }));
  clock.Advance(TargetTurns::kTurn);
  EXPECT_TRUE(host.Unseen(Target(0)).IsEmpty());
}

// Targets that come and go under new names leave nothing behind.
TEST(TargetTurnsTest, ManyTargetsThatWereSentSomethingAreForgotten)
{
  ManualClock clock;
  TargetTurns host(clock, HostId("h"));
  for (int target = 0; target < 100'000; ++target) {
    host.OnSent(Target(target), LoadCounts{ 1, 0, 0 });
    clock.Advance(std::chrono::milliseconds(1));
  }
  EXPECT_LE(host.Remembered(), 2000U);
  EXPECT_EQ(host.Unseen(Target(99'999)).requests, 1U);
}

// Load: all targets but one are full, and all hosts have calls for the one in which room is free.
// They learn of each other's sends at the end of a turn.
TEST(TargetTurnsTest, TargetWithFreeRoomIsNotOverfilledByHostsThatLearnLate)
{
  constexpr std::uint64_t kRoom = 8;
  ManualClock clock;
  std::vector<TargetTurns> hosts = MakeHosts(clock, 72);
  const double share = TargetTurns::ShareOf(72, 1000);
  double overfilled = 0;
  for (int turn = 0; turn < kTurns; ++turn) {
    std::uint64_t sent = 0;
    for (TargetTurns& host : hosts) {
      std::uint64_t own = 0;
      while (host.Has(Target(0), share) && own + host.Unseen(Target(0)).requests < kRoom) {
        host.OnSent(Target(0), LoadCounts{ 1, 0, 0 });
        ++own;
      }
      sent += own;
    }
    overfilled += sent > 2 * kRoom ? 1 : 0;
    clock.Advance(TargetTurns::kTurn);
  }
  // Without turns, each of them would send eight.
  EXPECT_LT(overfilled / kTurns, 0.1);
}

} // namespace
} // namespace damasklink
