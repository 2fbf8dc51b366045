#include "damasklink/coordination/TargetRegistry.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace damasklink {
namespace {

constexpr Duration kSilence = std::chrono::seconds(2);

TargetRecord
MakeRecord(std::uint64_t aIncarnation, std::uint64_t aSequence, bool aLeaving = false)
{
  TargetRecord record;
  record.id = TargetId("engine-1");
  record.incarnation = Incarnation(aIncarnation);
  record.sequence = Sequence(aSequence);
  record.leaving = aLeaving;
  return record;
}

TEST(TargetRegistryTest, SilentTargetGetsNoNewWork)
{
  ManualClock clock;
  TargetRegistry registry(clock, kSilence);
  registry.Merge(MakeRecord(1, 1));
  clock.Advance(kSilence - std::chrono::milliseconds(1));
  EXPECT_EQ(registry.Usable().size(), 1U);
  clock.Advance(std::chrono::milliseconds(1));
  EXPECT_TRUE(registry.Usable().empty());
}

TEST(TargetRegistryTest, LeavingSticksForTheIncarnation)
{
  ManualClock clock;
  TargetRegistry registry(clock, kSilence);
  registry.Merge(MakeRecord(1, 1, true));
  registry.Merge(MakeRecord(1, 2, false));
  EXPECT_TRUE(registry.Usable().empty());
  registry.Merge(MakeRecord(2, 1, false));
  EXPECT_EQ(registry.Usable().size(), 1U);
}

TEST(TargetRegistryTest, LateAnnouncementOfOlderIncarnationNeverRevives)
{
  ManualClock clock;
  TargetRegistry registry(clock, kSilence);
  registry.Merge(MakeRecord(2, 1, true));
  clock.Advance(std::chrono::minutes(1));
  EXPECT_FALSE(registry.Merge(MakeRecord(1, 99)));
  EXPECT_TRUE(registry.Usable().empty());
}

// The merged record is the same whatever the order of arrival.
RC_GTEST_PROP(TargetRegistryProperty, OrderOfArrivalDoesNotMatter, ())
{
  using Ages = std::vector<std::pair<unsigned, unsigned>>;
  const auto age = rc::gen::pair(rc::gen::inRange(1U, 4U), rc::gen::inRange(1U, 5U));
  const Ages ages = *rc::gen::nonEmpty(rc::gen::container<Ages>(age));
  ManualClock clock;
  TargetRegistry forward(clock, kSilence);
  TargetRegistry backward(clock, kSilence);
  for (const auto& [incarnation, sequence] : ages) {
    forward.Merge(MakeRecord(incarnation, sequence));
  }
  for (auto position = ages.rbegin(); position != ages.rend(); ++position) {
    backward.Merge(MakeRecord(position->first, position->second));
  }
  RC_ASSERT(forward.All() == backward.All());
}

} // namespace
} // namespace damasklink
