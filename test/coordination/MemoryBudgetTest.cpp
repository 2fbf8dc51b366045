#include "damasklink/coordination/MemoryBudget.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "damasklink/coordination/OwnMemory.h"
#include "damasklink/state/Units.h"

namespace damasklink {
namespace {

constexpr ByteCount kMachine(100 * kMebibyte);

class MemoryBudgetTest : public ::testing::Test
{
protected:
  std::size_t LargeLimit() const { return this->budget.Limit() * 7 / 8; }

  MemoryBudget budget{ kMachine };
};

TEST_F(MemoryBudgetTest, ReservationGivesBackWhatItHolds)
{
  {
    const auto reserved = this->budget.TryReserve(MemoryUse::Responses, kMebibyte);
    ASSERT_TRUE(reserved);
    EXPECT_EQ(this->budget.Held(), kMebibyte);
    EXPECT_EQ(this->budget.HeldFor(MemoryUse::Responses), kMebibyte);
  }
  EXPECT_EQ(this->budget.Held(), 0U);
  EXPECT_EQ(this->budget.HeldFor(MemoryUse::Responses), 0U);
}

TEST_F(MemoryBudgetTest, MovedReservationGivesBackOnce)
{
  auto first = this->budget.TryReserve(MemoryUse::RequestBodies, kMebibyte);
  MemoryReservation second = std::move(*first);
  first.reset();
  EXPECT_EQ(this->budget.Held(), kMebibyte);
  second = MemoryReservation();
  EXPECT_EQ(this->budget.Held(), 0U);
}

TEST_F(MemoryBudgetTest, LargeReservationsLeaveAShareToSmallOnes)
{
  const auto large = this->budget.TryReserve(MemoryUse::RequestBodies, this->LargeLimit());
  ASSERT_TRUE(large);
  EXPECT_FALSE(this->budget.TryReserve(MemoryUse::RequestBodies, MemoryBudget::kSmallBytes + 1));
  EXPECT_TRUE(this->budget.TryReserve(MemoryUse::RequestBodies, MemoryBudget::kSmallBytes));
}

TEST_F(MemoryBudgetTest, FailedResizeChangesNothing)
{
  auto reserved = this->budget.TryReserve(MemoryUse::Events, kMebibyte);
  EXPECT_FALSE(reserved->TryResize(kMachine.Value()));
  EXPECT_EQ(reserved->Bytes(), kMebibyte);
  EXPECT_EQ(this->budget.Held(), kMebibyte);
}

TEST_F(MemoryBudgetTest, LimitFallsWithOwnUseButNotToNothing)
{
  const std::size_t before = this->budget.Limit();
  this->budget.SetOwnUse(ByteCount(50 * kMebibyte));
  EXPECT_LT(this->budget.Limit(), before);
  this->budget.SetOwnUse(kMachine);
  EXPECT_GT(this->budget.Limit(), kMachine.Value() / 4);
}

TEST_F(MemoryBudgetTest, OwnUseIsNotTakenForSmallerWhileMuchIsReserved)
{
  OwnMemory own;
  own.Update(ByteCount(40 * kMebibyte), this->budget);
  const auto reserved = this->budget.TryReserve(MemoryUse::RequestBodies, 30 * kMebibyte);
  own.Update(ByteCount(45 * kMebibyte), this->budget);
  EXPECT_EQ(own.Estimate(), ByteCount(40 * kMebibyte));
}

// What is held never exceeds the limit, is the sum of its uses, and is nothing in the end.
RC_GTEST_PROP(MemoryBudgetProperty, HoldsWhatItsReservationsHold, ())
{
  MemoryBudget budget(kMachine);
  {
    std::vector<MemoryReservation> reservations;
    const auto steps =
      *rc::gen::container<std::vector<std::pair<std::uint32_t, std::uint8_t>>>(rc::gen::pair(
        rc::gen::inRange<std::uint32_t>(0, 40 * kMebibyte), rc::gen::inRange<std::uint8_t>(0, 4)));
    for (const auto& [bytes, action] : steps) {
      const auto use = static_cast<MemoryUse>(bytes % kMemoryUseCount);
      if (action < 2) {
        if (auto reserved = budget.TryReserve(use, bytes)) {
          reservations.push_back(std::move(*reserved));
        }
      } else if (!reservations.empty()) {
        MemoryReservation& chosen = reservations[bytes % reservations.size()];
        action == 2 ? static_cast<void>(chosen.TryResize(bytes)) : chosen.Release();
      }
      std::size_t sum = 0;
      for (const MemoryReservation& reservation : reservations) {
        sum += reservation.Bytes();
      }
      RC_ASSERT(budget.Held() == sum);
      RC_ASSERT(budget.Held() <= budget.Limit());
    }
  }
  RC_ASSERT(budget.Held() == 0U);
}

} // namespace
} // namespace damasklink
