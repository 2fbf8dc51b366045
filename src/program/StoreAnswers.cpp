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
StoreAnswers::Wait(QuestionNumber aNumber, Duration aMost)
{
  absl::MutexLock lock(&this->mutex);
  const auto place = this->open.find(aNumber);
  const auto answered = [place] { return place->second.has_value(); };
  this->mutex.AwaitWithTimeout(absl::Condition(&answered), absl::FromChrono(aMost));
  std::optional<StoreAnswer> answer = std::move(place->second);
  this->open.erase(place);
  return answer;
}

void
StoreAnswers::Fulfil(StoreAnswer aAnswer)
{
  absl::MutexLock lock(&this->mutex);
  const auto place = this->open.find(aAnswer.number);
  if (place != this->open.end()) {
    place->second = std::move(aAnswer);
  }
}

} // namespace damasklink
