#include "damasklink/coordination/BlockNames.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace damasklink {
namespace {

const BlockScope kScope{ WorkspaceId("water"),
                         ModelName("m"),
                         WeightVersion("v1"),
                         AdapterName("a") };

std::vector<Token>
Tokens(std::size_t aCount)
{
  std::vector<Token> tokens(aCount);
  for (std::size_t at = 0; at < aCount; ++at) {
    tokens[at] = static_cast<Token>(at * 7);
  }
  return tokens;
}

TEST(BlockNamesTest, NamesWholeBlocksOnly)
{
  EXPECT_EQ(NameBlocks(kScope, Tokens(11), 4).size(), 2U);
  EXPECT_TRUE(NameBlocks(kScope, Tokens(3), 4).empty());
}

TEST(BlockNamesTest, ShiftedScopeFieldsGiveOtherNames)
{
  BlockScope shifted = kScope;
  shifted.workspace = WorkspaceId("waterm");
  shifted.model = ModelName("");
  EXPECT_NE(NameBlocks(kScope, Tokens(4), 4), NameBlocks(shifted, Tokens(4), 4));
}

RC_GTEST_PROP(BlockNamesTest, NamesAreEqualExactlyForEqualPrefixes, ())
{
  const auto left = *rc::gen::container<std::vector<Token>>(rc::gen::inRange<Token>(0, 2));
  const auto right = *rc::gen::container<std::vector<Token>>(rc::gen::inRange<Token>(0, 2));
  const auto leftNames = NameBlocks(kScope, left, 2);
  const auto rightNames = NameBlocks(kScope, right, 2);
  for (std::size_t at = 0; at < std::min(leftNames.size(), rightNames.size()); ++at) {
    const auto length = static_cast<std::ptrdiff_t>(2 * (at + 1));
    const bool same = std::equal(left.begin(), left.begin() + length, right.begin());
    RC_ASSERT((leftNames[at] == rightNames[at]) == same);
  }
}

// A request of another workspace, model, version or adapter never names a block of this scope.
RC_GTEST_PROP(BlockNamesTest, ScopesNeverShareNames, (std::uint8_t aField))
{
  BlockScope other = kScope;
  switch (aField % 4) {
    case 0:
      other.workspace = WorkspaceId("plates");
      break;
    case 1:
      other.model = ModelName("n");
      break;
    case 2:
      other.version = WeightVersion("v2");
      break;
    default:
      other.adapter = AdapterName("");
  }
  const auto tokens = *rc::gen::container<std::vector<Token>>(8, rc::gen::arbitrary<Token>());
  const auto names = NameBlocks(kScope, tokens, 2);
  for (const Digest& name : NameBlocks(other, tokens, 2)) {
    RC_ASSERT(std::find(names.begin(), names.end(), name) == names.end());
  }
}

TEST(FourByteTokenizerTest, DistinguishesPromptsByLastByte)
{
  const FourByteTokenizer tokenizer;
  EXPECT_EQ(tokenizer.Tokenize("abcdefg").size(), 2U);
  EXPECT_NE(tokenizer.Tokenize("abcdef"), tokenizer.Tokenize("abcdeg"));
}

} // namespace
} // namespace damasklink
