#include "damasklink/coordination/StreamAssembler.h"

#include "damasklink/state/Text.h"
#include <utility>

namespace damasklink {

StreamAssembler::StreamAssembler(AttemptId aAttempt, std::uint64_t aNextOffset)
  : attempt(std::move(aAttempt))
  , nextOffset(aNextOffset)
{
}

Result<std::string>
StreamAssembler::Accept(const AnswerFrame& aFrame)
{
  const bool otherAttempt = aFrame.attempt != this->attempt;
  const bool duplicate = aFrame.offset < this->nextOffset;
  if (otherAttempt || duplicate || this->complete) {
    return std::string();
  }
  if (aFrame.offset > this->nextOffset) {
    return Fail(
      ErrorKind::Interrupted,
      Concat(
        "gap in the answer: expected token ", this->nextOffset, ", received token ", aFrame.offset),
      "resume the stream at the missing token");
  }
  this->nextOffset += aFrame.tokens;
  if (aFrame.end) {
    this->complete = true;
    this->finishReason = aFrame.finishReason;
    this->usage = aFrame.usage;
  }
  return aFrame.text;
}

} // namespace damasklink
