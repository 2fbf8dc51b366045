#include "damasklink/coordination/ReturnPredictor.h"

#include <gtest/gtest.h>

#include "damasklink/state/Digests.h"
#include "damasklink/state/Text.h"

namespace damasklink {
namespace {

std::vector<Digest>
Prompt(int aNumber, int aBlocks)
{
  std::vector<Digest> blocks;
  for (int block = 0; block < aBlocks; ++block) {
    blocks.push_back(DigestOf(Concat(aNumber, " ", block)));
  }
  return blocks;
}

TEST(ReturnPredictorTest, StartsFromPriorShare)
{
  ReturnPredictor returns(ReturnPredictorOptions{ 0.4, 10, 100 });
  EXPECT_DOUBLE_EQ(
    returns.ReturnProbability(returns.KindOf(WorkspaceId("a"), TokenCount(100), false)), 0.4);
}

TEST(ReturnPredictorTest, LearnsEachKindSeparately)
{
  ReturnPredictor returns(ReturnPredictorOptions{});
  const PromptKind often = returns.KindOf(WorkspaceId("a"), TokenCount(100), false);
  const PromptKind never = returns.KindOf(WorkspaceId("b"), TokenCount(100), false);
  for (int number = 0; number < 200; ++number) {
    returns.OnAnswered(often, Prompt(number, 2));
    returns.OnPrompt(Prompt(number, 3));
    returns.OnAnswered(never, Prompt(1000 + number, 2));
  }
  EXPECT_GT(returns.ReturnProbability(often), 0.9);
  EXPECT_LT(returns.ReturnProbability(never), 0.1);
}

TEST(ReturnPredictorTest, CountsEachReturnOnce)
{
  ReturnPredictor returns(ReturnPredictorOptions{ 0.0, 1, 100 });
  const PromptKind kind = returns.KindOf(WorkspaceId("a"), TokenCount(100), false);
  returns.OnAnswered(kind, Prompt(1, 2));
  returns.OnPrompt(Prompt(1, 3));
  returns.OnPrompt(Prompt(1, 3));
  EXPECT_DOUBLE_EQ(returns.ReturnProbability(kind), 0.5);
}

TEST(ReturnPredictorTest, DropsOldestPromptBeyondCapacity)
{
  ReturnPredictor returns(ReturnPredictorOptions{ 0.0, 1, 1 });
  const PromptKind kind = returns.KindOf(WorkspaceId("a"), TokenCount(100), false);
  returns.OnAnswered(kind, Prompt(1, 2));
  returns.OnAnswered(kind, Prompt(2, 2));
  returns.OnPrompt(Prompt(1, 3));
  EXPECT_DOUBLE_EQ(returns.ReturnProbability(kind), 0);
}

} // namespace
} // namespace damasklink
