#include "damasklink/transport/DialBackoff.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

// Returns when a host is connected that tries from 0 on, to a peer that answers from aUpAt on. An
// attempt whose first packet comes before that is lost.
Duration
ConnectedAt(Duration aUpAt)
{
  DialBackoff pace{ DialTiming() };
  Duration begun{ 0 };
  while (begun < aUpAt) {
    begun += pace.ConnectTimeout();
    pace.OnFailed();
    begun += pace.RetryDelay();
  }
  return begun;
}

// The load: all hosts lost power and come back within half a second of each other. Whoever came
// first must not wait long for those that came last, since nobody is served before they have met.
TEST(DialBackoffTest, ConnectsSoonAfterPeerStarts)
{
  for (Duration up{ 0 }; up < std::chrono::milliseconds(800); up += std::chrono::milliseconds(10)) {
    EXPECT_LE(ConnectedAt(up), up + std::chrono::milliseconds(200));
  }
}

TEST(DialBackoffTest, DialsUnreachablePeerAboutOncePerSecond)
{
  DialBackoff pace{ DialTiming() };
  Duration passed{ 0 };
  int attempts = 0;
  for (; passed < std::chrono::minutes(1); ++attempts) {
    passed += pace.ConnectTimeout() + pace.RetryDelay();
    pace.OnFailed();
  }
  EXPECT_LE(attempts, 65);
}

// On a full link packets wait for half a second.
TEST(DialBackoffTest, LaterAttemptsAllowForCongestedLink)
{
  DialBackoff pace{ DialTiming() };
  for (int attempt = 0; attempt < DialTiming().firstAttempts; ++attempt) {
    pace.OnFailed();
  }
  EXPECT_GE(pace.ConnectTimeout(), std::chrono::milliseconds(600));
}

TEST(DialBackoffTest, RedialsSoonAfterLostConnection)
{
  DialBackoff pace{ DialTiming() };
  for (int attempt = 0; attempt < 20; ++attempt) {
    pace.OnFailed();
  }
  pace.OnUp();
  EXPECT_EQ(pace.RetryDelay(), DialTiming().firstRetryDelay);
}

} // namespace
} // namespace damasklink
