#include "damasklink/coordination/LeasedStore.h"

#include <gtest/gtest.h>

#include "damasklink/state/Digests.h"
#include "damasklink/state/Text.h"

namespace damasklink {
namespace {

using std::chrono::seconds;

const ModelName kModel("m");
const WeightVersion kVersion("v1");

class LeasedStoreTest : public testing::Test
{
protected:
  LeasedStoreTest()
  {
    this->store.Renew(this->clock.MonotonicNow() + std::chrono::hours(1));
    this->store.Rebuild({});
  }

  static StoreManagerOptions Options()
  {
    StoreManagerOptions options;
    options.store = StoreId("store-1");
    options.declared = { ByteCount(1'000'000), ByteCount(0), ByteCount(1'000'000), ByteCount(64) };
    return options;
  }

  static StoreQuestion Question(QuestionKind aKind, int aBlocks = 4)
  {
    StoreQuestion question;
    question.number = QuestionNumber(9);
    question.kind = aKind;
    question.store = StoreId("store-1");
    question.prompt.scope = { WorkspaceId("water"), kModel, kVersion, AdapterName() };
    question.prompt.prefillRate = 1000;
    question.to = static_cast<std::uint64_t>(aBlocks);
    for (int number = 0; number < aBlocks; ++number) {
      question.prompt.blocks.push_back(DigestOf(Concat("block ", number)));
    }
    return question;
  }

  // Exports all blocks of a prompt, as an engine does.
  void Export()
  {
    const StoreAnswer grant = this->store.Answer(Question(QuestionKind::Export));
    ASSERT_EQ(grant.status, AnswerStatus::Granted);
    this->store.OnOutcome(Outcome(grant, grant.blocks));
  }

  static StoreOutcome Outcome(const StoreAnswer& aGrant, std::vector<ExportedBlock> aBlocks)
  {
    return {
      StoreId("store-1"), aGrant.fencing, aGrant.grant, seconds(0), true, std::move(aBlocks)
    };
  }

  ManualClock clock;
  LeasedStore store{ this->clock, FencingNumber(3), Options() };
};

TEST_F(LeasedStoreTest, GrantsImportOfExportedPrompt)
{
  this->Export();
  EXPECT_EQ(this->store.Answer(Question(QuestionKind::LookUp)).kept.blocks, 4U);
  const StoreAnswer grant = this->store.Answer(Question(QuestionKind::Import));
  EXPECT_EQ(grant.status, AnswerStatus::Granted);
  EXPECT_EQ(grant.blocks.size(), 4U);
  EXPECT_LT(grant.valid, seconds(10));
}

TEST_F(LeasedStoreTest, AnswersNotOwnerAfterLeaseExpires)
{
  this->Export();
  this->store.Renew(this->clock.MonotonicNow() + seconds(5));
  this->clock.Advance(seconds(5));
  EXPECT_EQ(this->store.Answer(Question(QuestionKind::Import)).status, AnswerStatus::NotOwner);
  EXPECT_EQ(this->store.Answer(Question(QuestionKind::LookUp)).kept.blocks, 0U);
}

TEST_F(LeasedStoreTest, AnswersNotOwnerBeforeRebuild)
{
  LeasedStore fresh(this->clock, FencingNumber(4), Options());
  fresh.Renew(this->clock.MonotonicNow() + seconds(5));
  EXPECT_EQ(fresh.Answer(Question(QuestionKind::Export)).status, AnswerStatus::NotOwner);
}

TEST_F(LeasedStoreTest, ExpiredExportIsNeverServed)
{
  const StoreAnswer grant = this->store.Answer(Question(QuestionKind::Export));
  EXPECT_EQ(this->store.Answer(Question(QuestionKind::LookUp)).kept.blocks, 0U);
  this->clock.Advance(seconds(31));
  this->store.Expire();
  this->store.OnOutcome(Outcome(grant, grant.blocks));
  EXPECT_EQ(this->store.Answer(Question(QuestionKind::LookUp)).kept.blocks, 0U);
  EXPECT_EQ(this->store.TakeFreed().size(), 4U);
}

TEST_F(LeasedStoreTest, IgnoresOutcomeWithOtherFencingNumber)
{
  const StoreAnswer grant = this->store.Answer(Question(QuestionKind::Export));
  StoreOutcome stale = Outcome(grant, grant.blocks);
  stale.fencing = FencingNumber(2);
  this->store.OnOutcome(stale);
  EXPECT_EQ(this->store.Answer(Question(QuestionKind::LookUp)).kept.blocks, 0U);
}

TEST_F(LeasedStoreTest, DrainsBlockReportedCorrupt)
{
  this->Export();
  const StoreAnswer grant = this->store.Answer(Question(QuestionKind::Import));
  this->store.OnOutcome(Outcome(grant, { grant.blocks[1] }));
  EXPECT_EQ(this->store.Answer(Question(QuestionKind::LookUp)).kept.blocks, 1U);
  // A new owner frees nothing before the pins of the previous owner have expired.
  EXPECT_TRUE(this->store.TakeFreed().empty());
  this->clock.Advance(seconds(10));
  this->store.Expire();
  EXPECT_EQ(this->store.TakeFreed().size(), 1U);
}

TEST_F(LeasedStoreTest, ImportWithoutOutcomeEndsWithPinLease)
{
  this->Export();
  const StoreAnswer grant = this->store.Answer(Question(QuestionKind::Import));
  this->store.OnServed({});
  this->clock.Advance(seconds(61));
  this->store.OnServed({});
  this->store.Expire();
  EXPECT_EQ(this->store.TakeFreed().size(), grant.blocks.size());
}

TEST_F(LeasedStoreTest, KeepsBlocksOfServedVersion)
{
  this->Export();
  this->store.OnServed({ { kModel, kVersion } });
  this->clock.Advance(seconds(61));
  this->store.OnServed({ { kModel, kVersion } });
  EXPECT_EQ(this->store.Answer(Question(QuestionKind::LookUp)).kept.blocks, 4U);
}

TEST_F(LeasedStoreTest, KeepsVersionUnservedForLessThanTimeout)
{
  this->Export();
  this->store.OnServed({});
  this->clock.Advance(seconds(61));
  this->store.OnServed({ { kModel, kVersion } });
  this->clock.Advance(seconds(1));
  this->store.OnServed({});
  EXPECT_EQ(this->store.Answer(Question(QuestionKind::LookUp)).kept.blocks, 4U);
}

TEST_F(LeasedStoreTest, DrainsAndFreesBlocksOfWithdrawnVersion)
{
  this->Export();
  this->store.OnServed({});
  this->clock.Advance(seconds(61));
  this->store.OnServed({});
  EXPECT_EQ(this->store.Answer(Question(QuestionKind::LookUp)).kept.blocks, 0U);
  EXPECT_EQ(this->store.TakeFreed().size(), 4U);
}

TEST_F(LeasedStoreTest, ExportsStayWithinLinkBudget)
{
  // Each grant is an eighth of the link's budget for one second: 30 blocks of 4 KiB.
  int granted = 0;
  for (int number = 0; number < 20; ++number) {
    StoreQuestion question = Question(QuestionKind::Export, 0);
    for (int block = 0; block < 30; ++block) {
      question.prompt.blocks.push_back(DigestOf(Concat(number, " ", block)));
    }
    granted += this->store.Answer(question).status == AnswerStatus::Granted ? 1 : 0;
  }
  EXPECT_EQ(granted, 8);
}

TEST_F(LeasedStoreTest, RefusesExportOfPromptsThatRarelyReturn)
{
  for (int number = 0; number < 100; ++number) {
    StoreQuestion other = Question(QuestionKind::Answered, 0);
    for (int block = 0; block < 4; ++block) {
      other.prompt.blocks.push_back(DigestOf(Concat(number, " ", block)));
    }
    this->store.Answer(other);
  }
  StoreQuestion question = Question(QuestionKind::Export);
  question.prompt.objective = { 1.0, 0.0, 1.0 };
  EXPECT_EQ(this->store.Answer(question).status, AnswerStatus::Nothing);
}

} // namespace
} // namespace damasklink
