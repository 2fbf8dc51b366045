#include "StoreAnswers.h"

#include <absl/time/time.h>

namespace damasklink {

QuestionNumber
StoreAnswers::Open()
{
  absl::MutexLock lock(&this->mutex);
  this->last = this->last.Next();
  this->open[this->last] = std::nullopt;
  return this->last;
}

std::optional<StoreAnswer>
StoreAnswers::Wait(QuestionNumber aNumber, Duration aTimeout)
{
  absl::MutexLock lock(&this->mutex);
  const auto entry = this->open.find(aNumber);
  const auto answered = [entry] { return entry->second.has_value(); };
  this->mutex.AwaitWithTimeout(absl::Condition(&answered), absl::FromChrono(aTimeout));
  std::optional<StoreAnswer> answer = std::move(entry->second);
  this->open.erase(entry);
  return answer;
}

void
StoreAnswers::Fulfil(StoreAnswer aAnswer)
{
  absl::MutexLock lock(&this->mutex);
  const auto entry = this->open.find(aAnswer.number);
  if (entry != this->open.end()) {
    entry->second = std::move(aAnswer);
  }
}

} // namespace damasklink
