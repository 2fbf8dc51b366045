#include "damasklink/coordination/TargetPicker.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

TargetRecord
Target(const std::string& aId, const std::string& aZone)
{
  TargetRecord record;
  record.id = TargetId(aId);
  record.zone = ZoneId(aZone);
  return record;
}

class TargetPickerTest : public ::testing::Test
{
protected:
  std::string Choose()
  {
    const TargetRecord* chosen = this->picker.Choose(this->question, this->targets);
    return chosen == nullptr ? "" : chosen->id.Value();
  }

  void Load(const std::string& aId, int aRequests)
  {
    for (int index = 0; index < aRequests; ++index) {
      this->picker.OnSent(TargetId(aId), PickQuestion{}, PickedWork{});
    }
  }

  ManualClock clock;
  TargetHealth health{ this->clock, 1 };
  TargetPicker picker{ this->health, 1 };
  PickQuestion question;
  std::vector<TargetRecord> targets{ Target("a", "z"), Target("b", "z"), Target("c", "z") };
};

TEST_F(TargetPickerTest, LeastLoadedIsChosen)
{
  this->Load("a", 3);
  this->Load("c", 2);
  EXPECT_EQ(this->Choose(), "b");
}

TEST_F(TargetPickerTest, EndOfARequestFreesItsTarget)
{
  this->Load("a", 3);
  this->Load("b", 1);
  this->Load("c", 3);
  this->picker.OnEnd(TargetId("a"), PickedWork{});
  this->picker.OnEnd(TargetId("a"), PickedWork{});
  this->picker.OnEnd(TargetId("a"), PickedWork{});
  EXPECT_EQ(this->Choose(), "a");
}

TEST_F(TargetPickerTest, ExcludedTargetsAreNotChosen)
{
  this->question.excluded = { TargetId("a"), TargetId("b") };
  EXPECT_EQ(this->Choose(), "c");
  this->question.excluded.insert(TargetId("c"));
  EXPECT_EQ(this->Choose(), "");
}

TEST_F(TargetPickerTest, OwnZoneGoesFirstWhereItCostsNoTime)
{
  this->targets = { Target("a", "other"), Target("b", "z"), Target("c", "other") };
  this->question.zone = ZoneId("z");
  EXPECT_EQ(this->Choose(), "b");
}

TEST_F(TargetPickerTest, TargetThatHoldsTheSharedPartIsChosen)
{
  this->question.promptTokens = TokenCount(9000);
  this->question.parts = { SizedPart{ PartKey(1), TokenCount(8000) } };
  this->picker.Held().OnRead(TargetId("c"), this->question.parts);
  EXPECT_EQ(this->Choose(), "c");
  EXPECT_EQ(this->picker.ToRead(this->question, TargetId("c")), TokenCount(1000));
  EXPECT_EQ(this->picker.ToRead(this->question, TargetId("a")), TokenCount(9000));
}

TEST_F(TargetPickerTest, PromptThatWaitsToBeReadCounts)
{
  const PickQuestion large{ ZoneId(), TokenCount(9000), {}, {}, {} };
  this->picker.OnSent(TargetId("a"), large, PickedWork{ TokenCount(9000), false });
  this->Load("b", 2);
  this->Load("c", 2);
  EXPECT_NE(this->Choose(), "a");
}

TEST_F(TargetPickerTest, EjectedTargetIsLeftAlone)
{
  for (int failure = 0; failure < TargetHealth::kFailuresInRow; ++failure) {
    this->health.OnEnd(TargetId("a"), HealthSign::Bad);
  }
  this->Load("b", 5);
  this->Load("c", 5);
  EXPECT_NE(this->Choose(), "a");
}

TEST_F(TargetPickerTest, MostlyEjectedPoolIsUsedWhole)
{
  for (const char* id : { "a", "b" }) {
    for (int failure = 0; failure < TargetHealth::kFailuresInRow; ++failure) {
      this->health.OnEnd(TargetId(id), HealthSign::Bad);
    }
  }
  this->Load("c", 50);
  EXPECT_NE(this->Choose(), "c");
}

} // namespace
} // namespace damasklink
