#include "damasklink/coordination/ConnectionAdmission.h"

#include <algorithm>
#include <deque>
#include <random>

#include <gtest/gtest.h>

namespace damasklink {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(ConnectionAdmissionTest, AdmitsAFewConnectionsInEachInterval)
{
  ConnectionAdmission admission;
  for (std::uint64_t count = 0; count < ConnectionAdmission::kInitialLimit; ++count) {
    EXPECT_TRUE(admission.TryAdmit(Duration::zero()));
  }
  EXPECT_FALSE(admission.TryAdmit(Duration::zero()));
  EXPECT_EQ(admission.Declined(), 1U);
  admission.OnInterval(Duration::zero());
  EXPECT_EQ(admission.Declined(), 0U);
  EXPECT_TRUE(admission.TryAdmit(Duration::zero()));
}

TEST(ConnectionAdmissionTest, AdmitsNoneWhileTheIntervalIsOverdue)
{
  ConnectionAdmission admission;
  EXPECT_TRUE(admission.TryAdmit(ConnectionAdmission::kMaxLag));
  EXPECT_FALSE(admission.TryAdmit(ConnectionAdmission::kMaxLag + milliseconds(1)));
}

TEST(ConnectionAdmissionTest, LimitRisesWithDemandWhileTheLoopKeepsUp)
{
  ConnectionAdmission admission;
  for (int interval = 0; interval < 40; ++interval) {
    while (admission.TryAdmit(Duration::zero())) {
    }
    admission.OnInterval(ConnectionAdmission::kMaxLag);
  }
  EXPECT_EQ(admission.Limit(), ConnectionAdmission::kMaxLimit);
  EXPECT_FALSE(admission.IsOverloaded());
}

TEST(ConnectionAdmissionTest, LimitFallsWhileTheLoopLagsAndRecovers)
{
  ConnectionAdmission admission;
  for (int interval = 0; interval < 10; ++interval) {
    while (admission.TryAdmit(Duration::zero())) {
    }
    admission.OnInterval(ConnectionAdmission::kMaxLag + milliseconds(1));
    EXPECT_TRUE(admission.IsOverloaded());
  }
  EXPECT_EQ(admission.Limit(), ConnectionAdmission::kMinLimit);
  for (std::uint64_t interval = 0; interval < ConnectionAdmission::kInitialLimit; ++interval) {
    admission.OnInterval(Duration::zero());
  }
  EXPECT_EQ(admission.Limit(), ConnectionAdmission::kInitialLimit);
}

// A host whose processor takes some time for each connection that it serves, and little for one
// that it closes.
class SimulatedHost
{
public:
  SimulatedHost(double aPerSecond, bool aLimited)
    : cost(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / aPerSecond)))
    , limited(aLimited)
  {
  }

  // Connections arrive at random for some time.
  void Run(double aArrivalsPerSecond, Duration aTime, std::uint32_t aSeed)
  {
    std::mt19937 random(aSeed);
    std::exponential_distribution<double> pause(aArrivalsPerSecond);
    Duration now{ 0 };
    Duration next{ 0 };
    Duration nextInterval = ConnectionAdmission::kInterval;
    while (now < aTime) {
      now = std::min(next, nextInterval);
      this->freeAt = std::max(this->freeAt, now);
      if (now == nextInterval) {
        this->admission.OnInterval(this->freeAt - now);
        nextInterval += ConnectionAdmission::kInterval;
        continue;
      }
      this->Arrive(now, nextInterval);
      next += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(pause(random)));
    }
    this->freeAt = Duration::zero();
  }

  int arrived = 0;
  int read = 0;
  int served = 0;

private:
  // Callers leave when their request is not answered in time.
  static constexpr Duration kPatience = seconds(1);
  static constexpr int kClosingIsCheaper = 20;

  void Arrive(Duration aNow, Duration aDue)
  {
    ++this->arrived;
    // The connection waits until the processor is free.
    const Duration lag = std::max(this->freeAt - aDue, Duration::zero());
    if (this->limited && !this->admission.TryAdmit(lag)) {
      this->freeAt += this->cost / kClosingIsCheaper;
      return;
    }
    ++this->read;
    this->freeAt += this->cost;
    this->served += this->freeAt - aNow <= kPatience ? 1 : 0;
  }

  Duration cost;
  bool limited;
  ConnectionAdmission admission;
  Duration freeAt{ 0 };
};

// Guards against a host that gets the connections of all others, reads all requests and answers
// none of them in time.
TEST(ConnectionAdmissionTest, HostThatGetsTenTimesItsLoadServesWhatItReads)
{
  for (const double capacity : { 60.0, 250.0 }) {
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
      SimulatedHost host(capacity, true);
      host.Run(10 * capacity, seconds(10), seed);
      EXPECT_GE(host.served, 0.95 * host.read) << "seed " << seed;
      EXPECT_GE(host.served, 0.3 * 10 * capacity) << "seed " << seed;
      SimulatedHost unlimited(capacity, false);
      unlimited.Run(10 * capacity, seconds(10), seed);
      EXPECT_LE(unlimited.served, 0.2 * unlimited.read) << "seed " << seed;
    }
  }
}

TEST(ConnectionAdmissionTest, HostAtHalfItsCapacityClosesNoConnection)
{
  for (const double capacity : { 60.0, 250.0 }) {
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
      SimulatedHost host(capacity, true);
      host.Run(capacity / 2, seconds(10), seed);
      EXPECT_GE(host.read, 0.99 * host.arrived) << "seed " << seed;
      EXPECT_EQ(host.served, host.read) << "seed " << seed;
    }
  }
}

TEST(ConnectionAdmissionTest, HostServesAllAgainOnceTheOverloadIsOver)
{
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    SimulatedHost host(100, true);
    host.Run(1000, seconds(5), seed);
    host.Run(30, seconds(2), seed);
    const int arrived = host.arrived;
    const int read = host.read;
    host.Run(30, seconds(5), seed);
    EXPECT_GE(host.read - read, 0.98 * (host.arrived - arrived)) << "seed " << seed;
  }
}

} // namespace
} // namespace damasklink
