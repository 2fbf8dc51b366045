#include "damasklink/transport/DialBackoff.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

// Returns when a host that dials since time 0 is connected to a peer that listens since aUpAt.
// An attempt that begins before that times out, since its first packet is lost.
Duration
ConnectTime(Duration aUpAt)
{
  DialBackoff backoff{ DialTiming() };
  Duration time{ 0 };
  while (time < aUpAt) {
    time += backoff.ConnectTimeout();
    backoff.OnFailed();
    time += backoff.RetryDelay();
  }
  return time;
}

// All hosts lost power and restart within half a second of each other. The first ones must
// connect soon to the last ones, since callers are not served before that.
TEST(DialBackoffTest, ConnectsSoonAfterPeerStarts)
{
  for (Duration up{ 0 }; up < std::chrono::milliseconds(800); up += std::chrono::milliseconds(10)) {
    EXPECT_LE(ConnectTime(up), up + std::chrono::milliseconds(200));
  }
}

TEST(DialBackoffTest, DialsUnreachablePeerAboutOncePerSecond)
{
  DialBackoff backoff{ DialTiming() };
  Duration passed{ 0 };
  int attempts = 0;
  for (; passed < std::chrono::minutes(1); ++attempts) {
    passed += backoff.ConnectTimeout() + backoff.RetryDelay();
    backoff.OnFailed();
  }
  EXPECT_LE(attempts, 65);
}

// On a congested link, packets are queued for up to half a second.
TEST(DialBackoffTest, LaterAttemptsAllowForCongestedLink)
{
  DialBackoff backoff{ DialTiming() };
  for (int attempt = 0; attempt < DialTiming().firstAttempts; ++attempt) {
    backoff.OnFailed();
  }
  EXPECT_GE(backoff.ConnectTimeout(), std::chrono::milliseconds(600));
}

TEST(DialBackoffTest, RedialsSoonAfterLostConnection)
{
  DialBackoff backoff{ DialTiming() };
  for (int attempt = 0; attempt < 20; ++attempt) {
    backoff.OnFailed();
  }
  backoff.OnUp();
  EXPECT_EQ(backoff.RetryDelay(), DialTiming().firstRetryDelay);
}

} // namespace
} // namespace damasklink
