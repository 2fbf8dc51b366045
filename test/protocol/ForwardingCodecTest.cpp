#include "damasklink/protocol/ForwardingCodec.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

template<typename Message>
Message
RoundTrip(const Message& aMessage)
{
  const auto decoded = DecodeForwardingMessage(EncodeForwardingMessage(aMessage));
  EXPECT_TRUE(decoded);
  EXPECT_EQ(NumberOf(decoded.value()), aMessage.number);
  return std::get<Message>(decoded.value());
}

TEST(ForwardingCodecTest, CallKeepsEverythingThatTheCallerSent)
{
  ForwardedCall call;
  call.number = CallNumber(7);
  call.head.method = "POST";
  call.head.target = "/a/b?c=d";
  call.head.fields.Add("X-Model", "m");
  call.head.fields.Add("X-Model", "again");
  call.body = std::string("with\0zero", 9);
  call.service = ServiceName("app");
  call.timeLeft = std::chrono::milliseconds(1234);
  call.configuration = Revision(9);
  call.sendsLeft = 2;
  const ForwardedCall read = RoundTrip(call);
  EXPECT_EQ(read.head.method, call.head.method);
  EXPECT_EQ(read.head.target, call.head.target);
  EXPECT_EQ(read.head.fields, call.head.fields);
  EXPECT_EQ(read.body, call.body);
  EXPECT_EQ(read.service, call.service);
  EXPECT_EQ(read.timeLeft, call.timeLeft);
  EXPECT_EQ(read.configuration, call.configuration);
  EXPECT_EQ(read.sendsLeft, call.sendsLeft);
  EXPECT_EQ(read.lastEvent, std::nullopt);
  call.lastEvent = 0;
  EXPECT_EQ(RoundTrip(call).lastEvent, 0U);
  EXPECT_EQ(read.software, std::nullopt);
  call.software = SoftwareVersion("v1.1");
  EXPECT_EQ(RoundTrip(call).software, call.software);
}

TEST(ForwardingCodecTest, ResponsesKeepTheirParts)
{
  ForwardedHead head{ CallNumber(1), {}, "first", true };
  head.head.status = 503;
  head.head.fields.Add("Retry-After", "0.5");
  const ForwardedHead read = RoundTrip(head);
  EXPECT_EQ(read.head.status, 503);
  EXPECT_EQ(read.head.fields, head.head.fields);
  EXPECT_EQ(read.bytes, "first");
  EXPECT_TRUE(read.whole);
  EXPECT_EQ(read.software, std::nullopt);
  head.software = SoftwareVersion();
  EXPECT_EQ(RoundTrip(head).software, head.software);
  EXPECT_EQ(RoundTrip(ForwardedChunk{ CallNumber(2), "id: 1\n\n" }).bytes, "id: 1\n\n");
  EXPECT_TRUE(RoundTrip(ForwardedEnd{ CallNumber(3), true }).complete);
  EXPECT_FALSE(RoundTrip(ForwardedEnd{ CallNumber(3), false }).complete);
  RoundTrip(ForwardingCancel{ CallNumber(4) });
}

TEST(ForwardingCodecTest, EveryReasonToDeclineIsKept)
{
  for (const DeclineReason reason : { DeclineReason::Stopping,
                                      DeclineReason::OlderConfiguration,
                                      DeclineReason::Overloaded,
                                      DeclineReason::Unreachable }) {
    EXPECT_EQ(RoundTrip(ForwardingDecline{ CallNumber(5), reason }).reason, reason);
    EXPECT_NE(DeclineReasonName(reason), "unknown");
  }
}

TEST(ForwardingCodecTest, RejectsWhatIsNoMessage)
{
  EXPECT_FALSE(DecodeForwardingMessage(""));
  EXPECT_FALSE(DecodeForwardingMessage("not a message at all"));
  std::string damaged = EncodeForwardingMessage(ForwardingCancel{ CallNumber(4) });
  damaged.resize(damaged.size() / 2);
  EXPECT_FALSE(DecodeForwardingMessage(damaged));
  const std::string unknown =
    EncodeForwardingMessage(ForwardingDecline{ CallNumber(5), static_cast<DeclineReason>(77) });
  EXPECT_FALSE(DecodeForwardingMessage(unknown));
}

} // namespace
} // namespace damasklink
