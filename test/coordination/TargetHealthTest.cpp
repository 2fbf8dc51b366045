#include "damasklink/coordination/TargetHealth.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

class TargetHealthTest : public testing::Test
{
protected:
  TargetHealthTest()
  {
    for (const char* id : { "a", "b", "c", "d" }) {
      this->targets.emplace_back().id = TargetId(id);
    }
  }

  void Fail(const char* aId)
  {
    for (int index = 0; index < TargetHealth::kFailuresInRow; ++index) {
      this->health.OnStart(TargetId(aId));
      this->health.OnEnd(TargetId(aId), HealthSign::Bad);
    }
  }

  bool IsFit(const char* aId) const
  {
    for (const TargetRecord& target : this->health.Filter(this->targets)) {
      if (target.id == TargetId(aId)) {
        return true;
      }
    }
    return false;
  }

  ManualClock clock;
  TargetHealth health{ clock, 7 };
  std::vector<TargetRecord> targets;
};

TEST_F(TargetHealthTest, FailuresInARowEject)
{
  this->Fail("a");
  EXPECT_FALSE(this->IsFit("a"));
  EXPECT_TRUE(this->IsFit("b"));
}

TEST_F(TargetHealthTest, SuccessBetweenFailuresKeepsATargetIn)
{
  for (int index = 0; index < 10; ++index) {
    this->health.OnEnd(TargetId("a"), index % 2 == 0 ? HealthSign::Bad : HealthSign::Good);
  }
  EXPECT_TRUE(this->IsFit("a"));
}

TEST_F(TargetHealthTest, ComesBackWithOneRequestAtATime)
{
  this->Fail("a");
  this->clock.Advance(std::chrono::seconds(3));
  EXPECT_TRUE(this->IsFit("a"));
  this->health.OnStart(TargetId("a"));
  EXPECT_FALSE(this->IsFit("a"));
  this->health.OnEnd(TargetId("a"), HealthSign::Good);
  EXPECT_TRUE(this->IsFit("a"));
}

TEST_F(TargetHealthTest, FailedProbeEjectsForLonger)
{
  this->Fail("a");
  this->clock.Advance(std::chrono::seconds(3));
  this->health.OnStart(TargetId("a"));
  this->health.OnEnd(TargetId("a"), HealthSign::Bad);
  this->clock.Advance(std::chrono::seconds(3));
  EXPECT_FALSE(this->IsFit("a"));
}

TEST_F(TargetHealthTest, WideFaultDoesNotEmptyThePool)
{
  for (const char* id : { "a", "b", "c", "d" }) {
    this->Fail(id);
  }
  EXPECT_EQ(this->health.Filter(this->targets).size(), 2U);
}

TEST_F(TargetHealthTest, TargetThatCannotBeReachedIsEjectedAtOnce)
{
  this->health.OnStart(TargetId("a"));
  this->health.OnEnd(TargetId("a"), HealthSign::Gone);
  EXPECT_FALSE(this->IsFit("a"));
  EXPECT_TRUE(this->IsFit("b"));
}

TEST_F(TargetHealthTest, TargetThatSeveralHostsFoundGoneIsEjected)
{
  const TargetId target("a");
  this->health.Take(
    { TargetReachabilityReport{ target, TargetHealth::kFindingsToBelieve - 1, 0 } });
  EXPECT_TRUE(this->IsFit("a"));
  this->health.Take({ TargetReachabilityReport{ target, 1, 0 } });
  EXPECT_FALSE(this->IsFit("a"));
}

TEST_F(TargetHealthTest, FindingsThatAreFarApartDoNotAddUp)
{
  for (int time = 0; time < 10; ++time) {
    this->health.Take({ TargetReachabilityReport{ TargetId("a"), 1, 0 } });
    this->clock.Advance(TargetHealth::kFindingsFitWithin);
  }
  EXPECT_TRUE(this->IsFit("a"));
}

TEST_F(TargetHealthTest, OneHostThatTriesInVainTellsTheOthers)
{
  const TargetId target("a");
  this->health.Take({ TargetReachabilityReport{ target, TargetHealth::kFindingsToBelieve, 0 } });
  this->clock.Advance(TargetHealth::kFirstEjection + TargetHealth::kTriesSpread);
  EXPECT_TRUE(this->IsFit("a"));
  this->health.Take({ TargetReachabilityReport{ target, 1, 0 } });
  EXPECT_FALSE(this->IsFit("a"));
}

TEST_F(TargetHealthTest, TargetThatAnotherHostFoundBackIsFitAtOnce)
{
  const TargetId target("a");
  this->health.Take({ TargetReachabilityReport{ target, TargetHealth::kFindingsToBelieve, 0 } });
  this->health.Take({ TargetReachabilityReport{ target, 0, 1 } });
  EXPECT_TRUE(this->IsFit("a"));
}

TEST_F(TargetHealthTest, OwnEjectionForFailuresIsNotEndedByOthers)
{
  this->Fail("a");
  this->health.Take({ TargetReachabilityReport{ TargetId("a"), 0, 1 } });
  EXPECT_FALSE(this->IsFit("a"));
}

TEST_F(TargetHealthTest, WhatIsFoundGoneIsToldOnceAnEjection)
{
  const TargetId target("a");
  this->health.OnEnd(target, HealthSign::Gone);
  this->health.OnEnd(target, HealthSign::Gone);
  const std::vector<TargetReachabilityReport> expected{ TargetReachabilityReport{ target, 1, 0 } };
  EXPECT_EQ(this->health.TakeFindings(), expected);
  EXPECT_TRUE(this->health.TakeFindings().empty());
}

TEST_F(TargetHealthTest, ReturnOfATargetThatAllBelievedGoneIsTold)
{
  const TargetId target("a");
  this->health.Take({ TargetReachabilityReport{ target, TargetHealth::kFindingsToBelieve, 0 } });
  this->health.OnEnd(target, HealthSign::Good);
  const std::vector<TargetReachabilityReport> expected{ TargetReachabilityReport{ target, 0, 1 } };
  EXPECT_EQ(this->health.TakeFindings(), expected);
  this->health.OnEnd(target, HealthSign::Good);
  EXPECT_TRUE(this->health.TakeFindings().empty());
}

} // namespace
} // namespace damasklink
