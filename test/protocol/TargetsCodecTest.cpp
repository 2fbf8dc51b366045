#include "damasklink/protocol/TargetsCodec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace damasklink {
namespace {

TEST(TargetsCodecTest, RoundTripsRecordsAndKeepalives)
{
  TargetsMessage message;
  message.kind = TargetsMessageKind::Refresh;
  TargetRecord record;
  record.id = TargetId("t");
  record.endpoint = Endpoint{ "127.0.0.1", 80 };
  record.incarnation = Incarnation(4);
  message.records = { record };
  TargetKeepalive keepalive{ 1, 2, Sequence(3), {} };
  keepalive.load.runningRequests = 5;
  keepalive.load.queuedPrefill = TokenCount(1'000'000);
  message.keepalives = { keepalive };
  EXPECT_EQ(DecodeTargetsMessage(EncodeTargetsMessage(message)).value(), message);
}

RC_GTEST_PROP(TargetsCodecTest, AnyBytesAreDecodedOrRejected, (const std::string& aBytes))
{
  const auto message = DecodeTargetsMessage(aBytes);
  RC_ASSERT((message || !message.error().message.empty()));
}

} // namespace
} // namespace damasklink
