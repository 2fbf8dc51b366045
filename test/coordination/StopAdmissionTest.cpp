#include "damasklink/coordination/StopAdmission.h"

#include <random>

#include <gtest/gtest.h>

namespace damasklink {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStop = seconds(8);
constexpr Duration kNoSilence{ 0 };
// Longer than a stop: the timeout of a route.
constexpr Duration kTimeout = seconds(12);

class StopAdmissionTest : public ::testing::Test
{
protected:
  // Observes calls of the route that take up to this long.
  void Learn(const char* aRoute, Duration aLongest, int aCalls = 200)
  {
    for (int call = 1; call <= aCalls; ++call) {
      this->admission.OnAnswered(aRoute, aLongest * call / aCalls, kNoSilence);
    }
  }

  void BeginStop() { this->admission.BeginStop(this->clock.MonotonicNow() + kStop); }

  // Returns how long after the signal calls of the route are taken.
  Duration TakenFor(const char* aRoute, Duration aPatience = kNoSilence)
  {
    constexpr Duration kStep = milliseconds(10);
    Duration taken{ 0 };
    while (taken <= kStop && this->admission.MayTake(aRoute, { kTimeout, aPatience })) {
      this->clock.Advance(kStep);
      taken += kStep;
    }
    return taken;
  }

  ManualClock clock;
  StopAdmission admission{ this->clock };
};

TEST_F(StopAdmissionTest, TakesAllWhileTheHostDoesNotStop)
{
  this->Learn("streams", seconds(60));
  EXPECT_TRUE(this->admission.MayTake("streams", { seconds(60), kNoSilence }));
  EXPECT_EQ(this->admission.StoppingSince(), std::nullopt);
}

TEST_F(StopAdmissionTest, RefusesWhatWouldBeCutOff)
{
  this->Learn("streams", seconds(4));
  this->BeginStop();
  this->clock.Advance(milliseconds(3500));
  EXPECT_TRUE(this->admission.MayTake("streams", { kTimeout, kNoSilence }));
  this->clock.Advance(milliseconds(1000));
  EXPECT_FALSE(this->admission.MayTake("streams", { kTimeout, kNoSilence }));
}

TEST_F(StopAdmissionTest, LeavesRoomForASilenceSuchAsWereObserved)
{
  this->Learn("streams", seconds(3));
  for (int call = 0; call < 10; ++call) {
    this->admission.OnAnswered("streams", seconds(2), milliseconds(1200));
  }
  this->BeginStop();
  const Duration taken = this->TakenFor("streams");
  EXPECT_LE(taken, kStop - seconds(4));
  EXPECT_GE(taken, kStop - milliseconds(4500));
}

// Guards against calls that are cut off because targets are silent for the first time while the
// host stops.
TEST_F(StopAdmissionTest, LeavesRoomForTheFirstSilence)
{
  this->Learn("streams", seconds(1));
  this->BeginStop();
  const Duration taken = this->TakenFor("streams", milliseconds(2400));
  EXPECT_LE(taken, kStop - milliseconds(3300));
  EXPECT_GE(taken, kStop - milliseconds(3500));
}

TEST_F(StopAdmissionTest, OneLongSilenceDoesNotTurnAllAway)
{
  this->Learn("streams", seconds(3), 1000);
  this->admission.OnAnswered("streams", seconds(9), seconds(7));
  this->BeginStop();
  EXPECT_GE(this->TakenFor("streams"), kStop - milliseconds(3300));
}

TEST_F(StopAdmissionTest, ShortCallsAreTakenNearlyToTheEnd)
{
  this->Learn("streams", seconds(6));
  this->Learn("status", milliseconds(50));
  this->BeginStop();
  EXPECT_LE(this->TakenFor("streams"), seconds(2) + milliseconds(200));
  EXPECT_GE(this->TakenFor("status"), seconds(5));
}

TEST_F(StopAdmissionTest, TakesWhatEndsInAnyCase)
{
  this->Learn("streams", seconds(7));
  this->BeginStop();
  this->clock.Advance(seconds(5));
  EXPECT_FALSE(this->admission.MayTake("streams", { seconds(3) + milliseconds(1), kNoSilence }));
  EXPECT_TRUE(this->admission.MayTake("streams", { seconds(3), kNoSilence }));
}

TEST_F(StopAdmissionTest, ARouteWithoutCallsIsExpectedToTakeAsLongAsOthers)
{
  this->Learn("streams", seconds(5));
  this->BeginStop();
  const Duration taken = this->TakenFor("new");
  EXPECT_LE(taken, milliseconds(3200));
  EXPECT_GE(taken, milliseconds(2900));
}

TEST_F(StopAdmissionTest, CallsAreTakenInTheFirstHalfWhereNothingWasLearnt)
{
  this->BeginStop();
  const Duration taken = this->TakenFor("streams");
  EXPECT_GT(taken, kStop / 2 - milliseconds(20));
  EXPECT_LT(taken, kStop / 2 + milliseconds(20));
}

TEST_F(StopAdmissionTest, ForgetsWhatWasLongAgo)
{
  this->Learn("streams", seconds(7));
  this->clock.Advance(2 * RecentQuantiles::kHalfWindow);
  this->Learn("streams", seconds(1));
  this->BeginStop();
  EXPECT_GE(this->TakenFor("streams"), kStop - milliseconds(1100));
}

TEST_F(StopAdmissionTest, FewRoutesAreKept)
{
  for (std::size_t route = 0; route < StopAdmission::kMaxRoutes; ++route) {
    this->admission.OnAnswered(std::to_string(route), seconds(1), kNoSilence);
  }
  this->Learn("one too many", milliseconds(100));
  this->BeginStop();
  EXPECT_LE(this->TakenFor("one too many"), kStop - milliseconds(900));
}

TEST_F(StopAdmissionTest, ExpiredRoutesMakeRoom)
{
  for (std::size_t route = 0; route < StopAdmission::kMaxRoutes; ++route) {
    this->admission.OnAnswered(std::to_string(route), seconds(1), kNoSilence);
  }
  this->clock.Advance(2 * RecentQuantiles::kHalfWindow);
  this->admission.RemoveExpired();
  this->Learn("other", seconds(6));
  this->Learn("new", milliseconds(100));
  this->BeginStop();
  EXPECT_GE(this->TakenFor("new"), kStop - milliseconds(200));
}

// Of the calls that a stopping host takes, very few are cut off, whatever their times are.
TEST_F(StopAdmissionTest, FewOfTheCallsThatAreTakenAreCutOff)
{
  std::mt19937 random(7);
  std::lognormal_distribution<double> length(0.0, 0.5);
  std::bernoulli_distribution silent(0.05);
  const auto draw = [&](Duration& aSilence) {
    aSilence = silent(random) ? milliseconds(1200) : milliseconds(50);
    const std::chrono::duration<double> own(length(random));
    return std::chrono::duration_cast<Duration>(own) + aSilence;
  };
  Duration silence{ 0 };
  for (int call = 0; call < 3000; ++call) {
    const Duration took = draw(silence);
    this->admission.OnAnswered("streams", took, silence);
  }
  this->BeginStop();
  const MonotonicTime cutOff = this->clock.MonotonicNow() + kStop;
  int taken = 0;
  int cut = 0;
  for (int call = 0; call < 8000; ++call) {
    this->clock.Advance(milliseconds(1));
    if (this->admission.MayTake("streams", { kTimeout, kNoSilence })) {
      ++taken;
      cut += this->clock.MonotonicNow() + draw(silence) > cutOff ? 1 : 0;
    }
  }
  EXPECT_GT(taken, 2000);
  EXPECT_LE(cut * 200, taken);
}

} // namespace
} // namespace damasklink
