#include "damasklink/protocol/StoresCodec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace damasklink {
namespace {

template<typename Message>
Message
RoundTrip(const Message& aMessage)
{
  return std::get<Message>(DecodeStoresMessage(EncodeStoresMessage(aMessage)).value());
}

TEST(StoresCodecTest, RoundTripsNotices)
{
  const OwnerNotice owner{ StoreId("s"), HostId("h"), FencingNumber(7) };
  EXPECT_EQ(RoundTrip(owner), owner);
  const SendsNotice sends{ { TargetId("e"), 3, TokenCount(900) } };
  EXPECT_EQ(RoundTrip(sends), sends);
  const CacheEvent event{
    TargetId("e"), Incarnation(2), Sequence(5), { Digest("aa") }, { Digest("bb") }
  };
  EXPECT_EQ(RoundTrip(event), event);
}

TEST(StoresCodecTest, RoundTripsCacheSnapshot)
{
  const CacheSnapshot snapshot{ TargetId("e"), Incarnation(2), Sequence(5), { Digest("aa") } };
  EXPECT_EQ(RoundTrip(snapshot).blocks, snapshot.blocks);
}

TEST(StoresCodecTest, RoundTripsStoreQuestion)
{
  StoreQuestion question;
  question.number = QuestionNumber(4);
  question.kind = QuestionKind::Import;
  question.store = StoreId("s");
  question.prompt = { { WorkspaceId("w"), ModelName("m"), WeightVersion("v"), AdapterName("a") },
                      { Digest("aa"), Digest("bb") },
                      true,
                      { 1, 2, 3 },
                      800 };
  question.from = 1;
  question.to = 2;
  const StoreQuestion decoded = RoundTrip(question);
  EXPECT_EQ(decoded.number, question.number);
  EXPECT_EQ(decoded.kind, question.kind);
  EXPECT_EQ(decoded.prompt.scope, question.prompt.scope);
  EXPECT_EQ(decoded.prompt.blocks, question.prompt.blocks);
  EXPECT_EQ(decoded.prompt.objective, question.prompt.objective);
  EXPECT_TRUE(decoded.prompt.returning);
  EXPECT_EQ(decoded.to, question.to);
}

TEST(StoresCodecTest, RoundTripsGrantedBlocks)
{
  StoreAnswer answer;
  answer.status = AnswerStatus::Granted;
  answer.fencing = FencingNumber(2);
  answer.grant = GrantId(8);
  answer.valid = std::chrono::seconds(9);
  answer.blocks = { { Digest("aa"), Generation(1), ByteCount(2), Checksum(3) } };
  const StoreAnswer decoded = RoundTrip(answer);
  EXPECT_EQ(decoded.grant, answer.grant);
  EXPECT_EQ(decoded.valid, answer.valid);
  EXPECT_EQ(decoded.blocks.front().generation, Generation(1));
  EXPECT_EQ(decoded.blocks.front().length, ByteCount(2));
  EXPECT_EQ(decoded.blocks.front().checksum, Checksum(3));
}

RC_GTEST_PROP(StoresCodecProperty, TruncatedMessagesAreDecodedOrRejected, ())
{
  const CacheEvent event{ TargetId("engine"), Incarnation(2), Sequence(5), { Digest("aa") }, {} };
  std::string bytes = EncodeStoresMessage(event);
  const auto cut = *rc::gen::inRange<std::size_t>(0, bytes.size());
  bytes.resize(cut);
  // Must not read beyond the bytes: the verifier prevents it, and the address sanitizer would
  // detect it.
  (void)DecodeStoresMessage(bytes);
  RC_ASSERT(cut >= 8 || !DecodeStoresMessage(bytes));
}

} // namespace
} // namespace damasklink
