#include "damasklink/coordination/DepartedTargets.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

DepartedTarget
Departure(const std::string& aId, std::uint64_t aIncarnation = 0)
{
  return DepartedTarget{ TargetId(aId), Incarnation(aIncarnation) };
}

TEST(DepartedTargetsTest, LaterIncarnationHasNotDeparted)
{
  DepartedTargets departed;
  EXPECT_TRUE(departed.Add(Departure("t", 3)));
  EXPECT_FALSE(departed.Add(Departure("t", 2)));
  EXPECT_TRUE(departed.Contains(TargetId("t"), Incarnation(3)));
  EXPECT_FALSE(departed.Contains(TargetId("t"), Incarnation(4)));
  EXPECT_FALSE(departed.Contains(TargetId("u"), Incarnation()));
  EXPECT_TRUE(departed.Add(Departure("t", 4)));
  EXPECT_EQ(departed.After(0).size(), 1U);
}

TEST(DepartedTargetsTest, ForgetsTheEarliestBeyondTheLimit)
{
  DepartedTargets departed;
  for (std::size_t index = 0; index <= DepartedTargets::kMaxKept; ++index) {
    departed.Add(Departure("t" + std::to_string(index)));
  }
  EXPECT_FALSE(departed.Contains(TargetId("t0"), Incarnation()));
  EXPECT_TRUE(departed.Contains(TargetId("t1"), Incarnation()));
  EXPECT_EQ(departed.After(0).size(), DepartedTargets::kMaxKept);
}

// Guards against departures that a host does not apply because it got them in a snapshot.
TEST(DepartedTargetsTest, AfterRestoreNoneIsMissedThatWasAddedSince)
{
  DepartedTargets before;
  for (const char* id : { "a", "b", "c" }) {
    before.Add(Departure(id));
  }
  const std::uint64_t seen = before.Count();
  before.Add(Departure("a", 1));
  before.Add(Departure("d"));
  DepartedTargets restored;
  restored.Restore(before.Count(), before.After(0));
  EXPECT_EQ(restored.Count(), before.Count());
  EXPECT_EQ(restored.After(0), before.After(0));
  EXPECT_EQ(restored.After(seen), before.After(seen));
}

} // namespace
} // namespace damasklink
