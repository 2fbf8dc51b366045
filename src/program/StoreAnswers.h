// Lets traffic threads wait for the answers of hosts that manage stores.
#pragma once

#include <map>
#include <optional>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include "damasklink/coordination/StoreMessages.h"

namespace damasklink {

// Matches answers to waiting threads by the number of the question. Thread-safe.
//
//   const QuestionNumber number = answers.Open();
//   ...                                             // Send the question with this number.
//   auto answer = answers.Wait(number, timeout);    // Empty when none came in time.
class StoreAnswers
{
public:
  // Returns the number for a new question. Wait() must be called for it, to free its entry.
  QuestionNumber Open();

  // Waits for the answer, at most for the timeout, and removes the question.
  std::optional<StoreAnswer> Wait(QuestionNumber aNumber, Duration aTimeout);

  // Delivers an answer. One that no thread waits for is dropped.
  void Fulfil(StoreAnswer aAnswer);

private:
  absl::Mutex mutex;
  QuestionNumber last ABSL_GUARDED_BY(mutex);
  std::map<QuestionNumber, std::optional<StoreAnswer>> open ABSL_GUARDED_BY(mutex);
};

} // namespace damasklink
