#include "damasklink/coordination/DocumentPublisher.h"

#include <gtest/gtest.h>

#include "damasklink/state/PackedText.h"

namespace damasklink {
namespace {

constexpr std::uint64_t kMany = 1'000'000;

DocumentRequest
Holding(std::uint64_t aVersion, std::uint64_t aMostBytes = kMany)
{
  DocumentRequest question;
  question.held = Revision(aVersion);
  question.mostBytes = aMostBytes;
  return question;
}

class DocumentPublisherTest : public ::testing::Test
{
protected:
  void Publish(std::uint64_t aVersion, const std::string& aText)
  {
    this->source.Publish(Revision(aVersion), aText);
  }

  DocumentPublisher source;
};

TEST_F(DocumentPublisherTest, SendsNothingBeforeFirstVersion)
{
  EXPECT_FALSE(this->source.Answer(Holding(0)));
  this->Publish(0, "");
  EXPECT_FALSE(this->source.Answer(Holding(0)));
}

TEST_F(DocumentPublisherTest, SendsFullDocumentToHostWithoutOne)
{
  this->Publish(7, "seven");
  const auto piece = this->source.Answer(Holding(0));
  ASSERT_TRUE(piece);
  EXPECT_EQ(piece->transfer.version, Revision(7));
  EXPECT_EQ(piece->transfer.base, Revision());
  EXPECT_EQ(piece->transfer.bytes, piece->bytes.size());
  EXPECT_EQ(UnpackText(piece->bytes, "", kMany).value(), "seven");
}

TEST_F(DocumentPublisherTest, SendsDeltaToHostWithEarlierVersion)
{
  this->Publish(7, "seven");
  this->Publish(9, "nine");
  const auto piece = this->source.Answer(Holding(7));
  ASSERT_TRUE(piece);
  EXPECT_EQ(piece->transfer.base, Revision(7));
  EXPECT_EQ(UnpackText(piece->bytes, "seven", kMany).value(), "nine");
}

TEST_F(DocumentPublisherTest, SendsNothingToHostWithNewestVersion)
{
  this->Publish(7, "seven");
  EXPECT_FALSE(this->source.Answer(Holding(7)));
  EXPECT_FALSE(this->source.Answer(Holding(8)));
}

TEST_F(DocumentPublisherTest, IgnoresLowerOrRepeatedVersion)
{
  this->Publish(7, "seven");
  this->Publish(5, "five");
  this->Publish(7, "other");
  const auto piece = this->source.Answer(Holding(0));
  EXPECT_EQ(UnpackText(piece->bytes, "", kMany).value(), "seven");
}

TEST_F(DocumentPublisherTest, ContinuesStartedTransferAfterNewerVersion)
{
  this->Publish(7, "a text of more than a few bytes");
  const auto first = this->source.Answer(Holding(0, 10));
  this->Publish(8, "another");
  DocumentRequest more = Holding(0);
  more.transfer = first->transfer;
  more.offset = 10;
  const auto rest = this->source.Answer(more);
  ASSERT_TRUE(rest);
  EXPECT_EQ(rest->transfer, first->transfer);
  EXPECT_EQ(rest->offset, 10U);
  EXPECT_EQ(UnpackText(first->bytes + rest->bytes, "", kMany).value(),
            "a text of more than a few bytes");
}

TEST_F(DocumentPublisherTest, RestartsTransferWithUnknownChecksum)
{
  this->Publish(7, "seven");
  DocumentRequest more = Holding(0);
  more.transfer = TransferId{ Revision(7), Revision(), 1000, 1 };
  more.offset = 500;
  const auto piece = this->source.Answer(more);
  ASSERT_TRUE(piece);
  EXPECT_NE(piece->transfer, more.transfer);
  EXPECT_EQ(piece->offset, 0U);
}

TEST_F(DocumentPublisherTest, SendsFullDocumentWhenBaseWasEvicted)
{
  const std::string large(3'000'000, 'x');
  for (std::uint64_t version = 1; version <= 6; ++version) {
    this->Publish(version, large + std::to_string(version));
  }
  EXPECT_EQ(this->source.Answer(Holding(1))->transfer.base, Revision());
  EXPECT_EQ(this->source.Answer(Holding(5))->transfer.base, Revision(5));
}

TEST_F(DocumentPublisherTest, KeepsNewestVersionBeyondMemoryLimit)
{
  this->Publish(1, "small");
  this->Publish(2, std::string(20'000'000, 'x'));
  EXPECT_EQ(this->source.Answer(Holding(0))->transfer.version, Revision(2));
}

} // namespace
} // namespace damasklink
