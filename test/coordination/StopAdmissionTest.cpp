#include "damasklink/coordination/StopAdmission.h"

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

  ManualClock clock;
  StopAdmission admission{ this->clock };
};

TEST_F(StopAdmissionTest, RefusesWhatWouldBeCutOff)
{
  this->Learn("streams", seconds(4));
  this->BeginStop();
  this->clock.Advance(milliseconds(3500));
  EXPECT_TRUE(this->admission.MayTake("streams", kTimeout));
  this->clock.Advance(milliseconds(1000));
  EXPECT_FALSE(this->admission.MayTake("streams", kTimeout));
}

} // namespace
} // namespace damasklink
