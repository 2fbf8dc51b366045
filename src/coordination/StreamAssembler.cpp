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
  const bool foreign = aFrame.attempt != this->attempt;
  const bool repeated = aFrame.offset < this->nextOffset;
  if (foreign || repeated || this->complete) {
    return std::string();
  }
  if (aFrame.offset > this->nextOffset) {
    return Fail(ErrorKind::Interrupted,
                Concat("the answer jumps from token ", this->nextOffset, " to ", aFrame.offset),
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
