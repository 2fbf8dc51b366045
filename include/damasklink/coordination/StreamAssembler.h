// Puts the frames of an engine's answer in order and tells when it is whole.
#pragma once

#include <optional>
#include <string>

#include "damasklink/state/Error.h"
#include "damasklink/state/Ids.h"

namespace damasklink {

// Token counts that an engine reports with the end of its answer.
struct AnswerUsage
{
  TokenCount prompt;
  TokenCount completion;
  // Prompt tokens that were not computed again.
  TokenCount reused;

  bool operator==(const AnswerUsage&) const = default;
};

// One frame of an engine's answer.
struct AnswerFrame
{
  AttemptId attempt;
  // Position of the frame's first token in the answer.
  std::uint64_t offset = 0;
  // Tokens in this frame; 0 on a frame that only ends the answer.
  std::uint64_t tokens = 0;
  std::string text;
  bool end = false;
  std::string finishReason;
  AnswerUsage usage;
};

// Accepts the frames of one attempt and returns what may go to the caller.
//
//   StreamAssembler assembler(attempt, 0);
//   auto text = assembler.Accept(frame);
//   if (assembler.Complete()) ...
//
// Frames of another attempt and frames already delivered are dropped. A gap is an error of kind
// Interrupted: the stream must be resumed at NextOffset(). An answer is whole only when its end
// frame arrived at the next offset.
class StreamAssembler
{
public:
  StreamAssembler(AttemptId aAttempt, std::uint64_t aNextOffset);

  // Returns the text to pass on, empty for a dropped frame, or Interrupted for a gap.
  Result<std::string> Accept(const AnswerFrame& aFrame);

  bool Complete() const { return this->complete; }
  std::uint64_t NextOffset() const { return this->nextOffset; }

  // Returns the end frame's reason and usage. Requires Complete().
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
