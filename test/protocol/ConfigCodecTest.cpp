#include "damasklink/protocol/ConfigCodec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace damasklink {
namespace {

TEST(ConfigCodecTest, RoundTripsDelta)
{
  ConfigMessage message;
  message.kind = ConfigMessageKind::Delta;
  message.revision = Revision(12);
  message.confirmedAge = std::chrono::milliseconds(250);
  message.origin = HostId("h1");
  message.acceptedAt = WallTime(std::chrono::seconds(5));
  message.body = std::string("\0x", 2);
  EXPECT_EQ(DecodeConfigMessage(EncodeConfigMessage(message)).value(), message);
}

TEST(ConfigCodecTest, RoundTripsHeartbeat)
{
  Heartbeat heartbeat;
  heartbeat.incarnation = Incarnation(1'700'000'000'000);
  heartbeat.sequence = Sequence(9);
  heartbeat.leaving = true;
  heartbeat.revision = Revision(3);
  heartbeat.confirmedAge = std::chrono::milliseconds(7);
  heartbeat.others = { HostSighting{ 5, Incarnation(4), Sequence(3), true },
                       HostSighting{ 6, Incarnation(2), Sequence(1), false } };
  EXPECT_EQ(DecodeHeartbeat(EncodeHeartbeat(heartbeat)).value(), heartbeat);
}

RC_GTEST_PROP(ConfigCodecTest, AnyBytesAreDecodedOrRejected, (const std::string& aBytes))
{
  const auto message = DecodeConfigMessage(aBytes);
  const auto heartbeat = DecodeHeartbeat(aBytes);
  RC_ASSERT((message || message.error().kind == ErrorKind::Corrupt));
  RC_ASSERT((heartbeat || heartbeat.error().kind == ErrorKind::Corrupt));
}

} // namespace
} // namespace damasklink
