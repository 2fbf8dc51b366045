#include "damasklink/coordination/StreamAssembler.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace damasklink {
namespace {

AnswerFrame
MakeFrame(std::uint64_t aOffset, bool aEnd = false, const std::string& aAttempt = "a-1")
{
  AnswerFrame frame;
  frame.attempt = AttemptId(aAttempt);
  frame.offset = aOffset;
  frame.tokens = aEnd ? 0 : 1;
  frame.text = aEnd ? "" : std::to_string(aOffset) + ",";
  frame.end = aEnd;
  return frame;
}

TEST(StreamAssemblerTest, DropsFramesOfAnotherAttempt)
{
  StreamAssembler assembler(AttemptId("a-2"), 0);
  EXPECT_EQ(assembler.Accept(MakeFrame(0, false, "a-1")).value(), "");
  EXPECT_EQ(assembler.Accept(MakeFrame(0, false, "a-2")).value(), "0,");
}

TEST(StreamAssemblerTest, ReportsGapAsInterrupted)
{
  StreamAssembler assembler(AttemptId("a-1"), 0);
  const auto accepted = assembler.Accept(MakeFrame(1));
  ASSERT_FALSE(accepted);
  EXPECT_EQ(accepted.error().kind, ErrorKind::Interrupted);
  EXPECT_EQ(assembler.NextOffset(), 0U);
}

TEST(StreamAssemblerTest, EndFrameAfterGapDoesNotComplete)
{
  StreamAssembler assembler(AttemptId("a-1"), 0);
  EXPECT_FALSE(assembler.Accept(MakeFrame(3, true)));
  EXPECT_FALSE(assembler.Complete());
}

// Frames are duplicated, reordered and mixed with those of another attempt. The output is a prefix
// of the answer, and all of it if Complete() returns true.
RC_GTEST_PROP(StreamAssemblerProperty, OutputIsPrefixOfAnswer, ())
{
  constexpr std::uint64_t kLength = 5;
  StreamAssembler assembler(AttemptId("a-1"), 0);
  const auto picks = *rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(0U, 12U));
  std::string output;
  for (const unsigned pick : picks) {
    const std::uint64_t offset = pick % (kLength + 1);
    const std::string attempt = pick > kLength ? "a-0" : "a-1";
    const auto text = assembler.Accept(MakeFrame(offset, offset == kLength, attempt));
    output += text ? text.value() : "";
  }
  const std::string answer = "0,1,2,3,4,";
  RC_ASSERT(answer.starts_with(output));
  RC_ASSERT(!assembler.Complete() || output == answer);
}

} // namespace
} // namespace damasklink
