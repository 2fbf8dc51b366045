#include "damasklink/coordination/StallFilter.h"

#include <gtest/gtest.h>

#include "damasklink/coordination/ConnectionAdmission.h"

namespace damasklink {
namespace {

using std::chrono::milliseconds;

constexpr Duration kLag = milliseconds(900);
constexpr int kArrivals = 40;

// A host whose loop is late at the end of some intervals.
class HostThatStalls
{
public:
  // Ends an interval and returns how many of the connections that arrived in it are admitted.
  int Interval(Duration aLag, Duration aRunning)
  {
    const Duration lag = this->stalls.LagOfLoad(aLag, aRunning);
    this->admission.OnInterval(lag);
    this->stalls.OnInterval(aLag);
    int admitted = 0;
    for (int count = 0; count < kArrivals; ++count) {
      admitted += this->admission.TryAdmit(Duration::zero()) ? 1 : 0;
    }
    return admitted;
  }

  bool IsOverloaded() const { return this->admission.IsOverloaded(); }

private:
  ConnectionAdmission admission;
  StallFilter stalls;
};

// Guards against a host that stood still once and refuses connections for a second after it.
TEST(StallFilterTest, HostThatStoodStillOnceAdmitsWhatArrivedMeanwhile)
{
  HostThatStalls host;
  EXPECT_EQ(host.Interval(kLag, milliseconds(30)), kArrivals);
  EXPECT_FALSE(host.IsOverloaded());
  EXPECT_EQ(host.Interval(Duration::zero(), milliseconds(30)), kArrivals);
}

TEST(StallFilterTest, HostThatWorkedAllTheTimeIsOverloaded)
{
  HostThatStalls host;
  EXPECT_LT(host.Interval(kLag, kLag), kArrivals);
  EXPECT_TRUE(host.IsOverloaded());
}

// Guards against a host with a small share of a processor that takes each lag for a stall.
TEST(StallFilterTest, HostThatIsLateAgainSoonIsOverloaded)
{
  HostThatStalls host;
  host.Interval(kLag, milliseconds(30));
  for (std::uint64_t count = 1; count < StallFilter::kIntervals; ++count) {
    host.Interval(Duration::zero(), milliseconds(30));
  }
  EXPECT_LT(host.Interval(kLag, milliseconds(30)), kArrivals);
  EXPECT_TRUE(host.IsOverloaded());
}

} // namespace
} // namespace damasklink
