#include "damasklink/coordination/WeightAgeTracker.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

const ModelName kModel("m");
constexpr Duration kLongest = std::chrono::seconds(12);
constexpr Duration kStep = std::chrono::milliseconds(25);

class WeightAgeTrackerTest : public ::testing::Test
{
protected:
  void Run(Duration aTime, bool aHasLeader = true)
  {
    for (Duration passed{ 0 }; passed < aTime; passed += kStep) {
      this->clock.Advance(kStep);
      this->tracker.Step(aHasLeader);
    }
  }

  std::optional<Duration> AgeOf(std::uint64_t aVersion) const
  {
    for (const AnnouncedWeights& announced : this->tracker.Ages().All()) {
      if (announced.version == aVersion) {
        return announced.age;
      }
    }
    throw std::out_of_range("no such version");
  }

  ManualClock clock;
  WeightAgeTracker tracker{ this->clock, kLongest };
};

TEST_F(WeightAgeTrackerTest, VersionAppliedInContactWasJustAcknowledged)
{
  this->Run(std::chrono::seconds(3));
  this->tracker.OnApplied({ { kModel, 2 } });
  EXPECT_LE(this->AgeOf(2), kStep);
}

// Guards against a control host that counts the age of a version anew after its restart.
TEST_F(WeightAgeTrackerTest, RestartedHostTakesTheAgeFromOthers)
{
  this->tracker.OnApplied({ { kModel, 2 } });
  EXPECT_EQ(this->AgeOf(2), std::nullopt) << "read from its log";
  this->tracker.OnTold({ AnnouncedWeights{ kModel, 2, std::chrono::seconds(7) } });
  this->Run(std::chrono::seconds(3));
  EXPECT_EQ(this->AgeOf(2), std::chrono::seconds(10));
}

TEST_F(WeightAgeTrackerTest, CountsFromTheRestartOfAllHosts)
{
  this->tracker.OnApplied({ { kModel, 2 } });
  this->tracker.OnTold({ AnnouncedWeights{ kModel, 2, std::nullopt } });
  this->Run(std::chrono::seconds(1), false);
  this->Run(std::chrono::seconds(1));
  EXPECT_EQ(this->AgeOf(2), std::nullopt);
  this->Run(std::chrono::seconds(1));
  EXPECT_EQ(this->AgeOf(2), std::chrono::seconds(3));
}

// Guards against an age that begins with a new leader, although the former one had acknowledged the
// version shortly before its end.
TEST_F(WeightAgeTrackerTest, VersionAppliedAfterALossOfContactMayBeOlder)
{
  this->Run(std::chrono::seconds(3));
  this->Run(std::chrono::milliseconds(1200), false);
  this->tracker.OnApplied({ { kModel, 2 } });
  EXPECT_GE(this->AgeOf(2), std::chrono::milliseconds(1200));
  this->Run(std::chrono::seconds(30), false);
  this->tracker.OnApplied({ { kModel, 3 } });
  EXPECT_EQ(this->AgeOf(3), WeightAgeTracker::kMaxLag) << "others tell a greater age if it has one";
}

TEST_F(WeightAgeTrackerTest, VersionAppliedAfterAStandStillMayBeOlder)
{
  this->Run(std::chrono::seconds(3));
  this->clock.Advance(std::chrono::seconds(5));
  this->tracker.OnApplied({ { kModel, 2 } });
  EXPECT_EQ(this->AgeOf(2), WeightAgeTracker::kMaxLag);
}

TEST_F(WeightAgeTrackerTest, ChangesOnlyWithWhatHostsDoNotKnow)
{
  this->Run(std::chrono::seconds(3));
  this->tracker.OnApplied({ { kModel, 2 } });
  const std::uint64_t before = this->tracker.Changes();
  this->tracker.OnApplied({ { kModel, 2 } });
  this->tracker.OnTold({ AnnouncedWeights{ kModel, 2, std::chrono::seconds(4) } });
  this->Run(std::chrono::seconds(3));
  EXPECT_EQ(this->tracker.Changes(), before);
}

} // namespace
} // namespace damasklink
