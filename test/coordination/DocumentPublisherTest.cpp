#include "damasklink/coordination/DocumentPublisher.h"

#include <gtest/gtest.h>

#include "damasklink/state/PackedText.h"

namespace damasklink {
namespace {

constexpr std::uint64_t kMany = 1'000'000;

DocumentRequest
Holding(std::uint64_t aVersion, std::uint64_t aMostBytes = kMany)
{
  DocumentRequest request;
  request.held = Revision(aVersion);
  request.mostBytes = aMostBytes;
  return request;
}

class DocumentPublisherTest : public ::testing::Test
{
protected:
  void Publish(std::uint64_t aVersion, const std::string& aText)
  {
    this->publisher.Publish(Revision(aVersion), aText);
  }

  DocumentPublisher publisher;
};

TEST_F(DocumentPublisherTest, SendsNothingBeforeFirstVersion)
{
  EXPECT_FALSE(this->publisher.Answer(Holding(0)));
  this->Publish(0, "");
  EXPECT_FALSE(this->publisher.Answer(Holding(0)));
}

TEST_F(DocumentPublisherTest, SendsFullDocumentToHostWithoutOne)
{
  this->Publish(7, "seven");
  const auto chunk = this->publisher.Answer(Holding(0));
  ASSERT_TRUE(chunk);
  EXPECT_EQ(chunk->transfer.version, Revision(7));
  EXPECT_EQ(chunk->transfer.base, Revision());
  EXPECT_EQ(chunk->transfer.bytes, chunk->bytes.size());
  EXPECT_EQ(UnpackText(chunk->bytes, "", kMany).value(), "seven");
}

TEST_F(DocumentPublisherTest, SendsDeltaToHostWithEarlierVersion)
{
  this->Publish(7, "seven");
  this->Publish(9, "nine");
  const auto chunk = this->publisher.Answer(Holding(7));
  ASSERT_TRUE(chunk);
  EXPECT_EQ(chunk->transfer.base, Revision(7));
  EXPECT_EQ(UnpackText(chunk->bytes, "seven", kMany).value(), "nine");
}

TEST_F(DocumentPublisherTest, SendsNothingToHostWithNewestVersion)
{
  this->Publish(7, "seven");
  EXPECT_FALSE(this->publisher.Answer(Holding(7)));
  EXPECT_FALSE(this->publisher.Answer(Holding(8)));
}

TEST_F(DocumentPublisherTest, IgnoresLowerOrRepeatedVersion)
{
  this->Publish(7, "seven");
  this->Publish(5, "five");
  this->Publish(7, "other");
  const auto chunk = this->publisher.Answer(Holding(0));
  EXPECT_EQ(UnpackText(chunk->bytes, "", kMany).value(), "seven");
}

TEST_F(DocumentPublisherTest, ContinuesStartedTransferAfterNewerVersion)
{
  this->Publish(7, "a text of more than a few bytes");
  const auto first = this->publisher.Answer(Holding(0, 10));
  this->Publish(8, "another");
  DocumentRequest next = Holding(0);
  next.transfer = first->transfer;
  next.offset = 10;
  const auto rest = this->publisher.Answer(next);
  ASSERT_TRUE(rest);
  EXPECT_EQ(rest->transfer, first->transfer);
  EXPECT_EQ(rest->offset, 10U);
  EXPECT_EQ(UnpackText(first->bytes + rest->bytes, "", kMany).value(),
            "a text of more than a few bytes");
}

TEST_F(DocumentPublisherTest, RestartsTransferWithUnknownChecksum)
{
  this->Publish(7, "seven");
  DocumentRequest next = Holding(0);
  next.transfer = TransferId{ Revision(7), Revision(), 1000, 1 };
  next.offset = 500;
  const auto chunk = this->publisher.Answer(next);
  ASSERT_TRUE(chunk);
  EXPECT_NE(chunk->transfer, next.transfer);
  EXPECT_EQ(chunk->offset, 0U);
}

TEST_F(DocumentPublisherTest, SendsFullDocumentWhenBaseWasEvicted)
{
  const std::string large(3'000'000, 'x');
  for (std::uint64_t version = 1; version <= 6; ++version) {
    this->Publish(version, large + std::to_string(version));
  }
  EXPECT_EQ(this->publisher.Answer(Holding(1))->transfer.base, Revision());
  EXPECT_EQ(this->publisher.Answer(Holding(5))->transfer.base, Revision(5));
}

TEST_F(DocumentPublisherTest, KeepsNewestVersionBeyondMemoryLimit)
{
  this->Publish(1, "small");
  this->Publish(2, std::string(20'000'000, 'x'));
  EXPECT_EQ(this->publisher.Answer(Holding(0))->transfer.version, Revision(2));
}

} // namespace
} // namespace damasklink
