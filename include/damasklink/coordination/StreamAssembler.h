// Checks the order of the frames of an engine's answer and detects when the answer is complete.
#pragma once

#include <optional>
#include <string>

#include "damasklink/state/Error.h"
#include "damasklink/state/Ids.h"

namespace damasklink {

// Token counts that an engine reports at the end of its answer.
struct AnswerUsage
{
  TokenCount prompt;
  TokenCount completion;
  // Prompt tokens that were taken from a cache instead of being computed.
  TokenCount reused;

  bool operator==(const AnswerUsage&) const = default;
};

// One frame of an engine's answer.
struct AnswerFrame
{
  AttemptId attempt;
  // Position of the frame's first token in the answer.
  std::uint64_t offset = 0;
  // Tokens in this frame; 0 in a frame that only ends the answer.
  std::uint64_t tokens = 0;
  std::string text;
  // Set on the last frame, which also has the reason and the usage.
  bool end = false;
  std::string finishReason;
  AnswerUsage usage;
};

// Accepts the frames of one attempt and returns the text to pass on to the caller.
//
//   StreamAssembler assembler(attempt, 0);
//   auto text = assembler.Accept(frame);
//   if (assembler.Complete()) ...
//
// Frames of another attempt, duplicates and frames after the end are dropped. A gap is an error of
// kind Interrupted: the stream must be resumed at NextOffset(). An answer is complete only when its
// end frame has arrived at the next offset. Not thread-safe.
class StreamAssembler
{
public:
  StreamAssembler(AttemptId aAttempt, std::uint64_t aNextOffset);

  // Returns the text to pass on, empty for a dropped frame. Fails with Interrupted for a gap.
  Result<std::string> Accept(const AnswerFrame& aFrame);

  bool Complete() const { return this->complete; }
  // Returns the offset of the next expected token.
  std::uint64_t NextOffset() const { return this->nextOffset; }

  // Return the reason and usage of the end frame. Require Complete().
  const std::string& FinishReason() const { return this->finishReason; }
  const AnswerUsage& Usage() const { return this->usage; }

private:
  AttemptId attempt;
  std::uint64_t nextOffset;
  bool complete = false;
  std::string finishReason;
  AnswerUsage usage;
};

} // namespace damasklink
