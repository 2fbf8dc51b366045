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

TEST(TargetRegistryTest, LateAnnouncementOfAnOlderIncarnationIsIgnored)
{
  ManualClock clock;
  TargetRegistry registry(clock, kSilence);
  registry.Merge(MakeRecord(2, 1, true));
  clock.Advance(std::chrono::minutes(1));
  EXPECT_FALSE(registry.Merge(MakeRecord(1, 99)));
  EXPECT_TRUE(registry.Usable().empty());
}

TEST(TargetRegistryTest, UsabilityChangesAreReturnedOnce)
{
  ManualClock clock;
  TargetRegistry registry(clock, kSilence);
  const std::vector<TargetId> target{ TargetId("engine-1") };
  registry.Merge(MakeRecord(1, 1));
  EXPECT_EQ(registry.TakeUsabilityChanges(), target);
  registry.Merge(MakeRecord(1, 2));
  EXPECT_TRUE(registry.TakeUsabilityChanges().empty());
  clock.Advance(kSilence);
  EXPECT_EQ(registry.TakeUsabilityChanges(), target);
  EXPECT_TRUE(registry.TakeUsabilityChanges().empty());
}

// The merged record does not depend on the order of arrival.
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

// Targets are announced, change their addresses and expire in any order. The index by address must
// give the same result as a search of all targets: only the target that announced itself last from
// an address is usable.
RC_GTEST_PROP(TargetRegistryProperty, AddressBelongsToTheLastAnnouncedTarget, ())
{
  constexpr unsigned kTargets = 4;
  constexpr unsigned kAddresses = 3;
  using Steps = std::vector<std::pair<unsigned, unsigned>>;
  const auto step =
    rc::gen::pair(rc::gen::inRange(0U, kTargets), rc::gen::inRange(1U, kAddresses + 1));
  const Steps steps = *rc::gen::nonEmpty(rc::gen::container<Steps>(step));
  const bool expires = *rc::gen::arbitrary<bool>();
  ManualClock clock;
  TargetRegistry registry(clock, kSilence);
  std::map<unsigned, unsigned> addressOf;
  std::map<unsigned, unsigned> lastAt;
  std::uint64_t sequence = 0;
  for (const auto& [target, address] : steps) {
    if (expires && sequence == steps.size() / 2) {
      clock.Advance(kSilence * 400);
      registry.Expire();
      addressOf.clear();
      lastAt.clear();
    }
    TargetRecord record = MakeRecord(1, ++sequence);
    record.id = TargetId("t" + std::to_string(target));
    record.endpoint = Endpoint{ "10.0.0.1", static_cast<std::uint16_t>(address) };
    registry.Merge(record);
    addressOf[target] = address;
    lastAt[address] = target;
    for (const auto& [other, at] : addressOf) {
      RC_ASSERT(registry.IsUsable(TargetId("t" + std::to_string(other))) == (lastAt[at] == other));
    }
  }
}

} // namespace
} // namespace damasklink
