// Where traffic threads wait for the answers of store owners.
#pragma once

#include <map>
#include <optional>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include "damasklink/coordination/StoreMessages.h"

namespace damasklink {

// Pairs answers with the threads that asked. Safe from any thread.
//
//   const QuestionNumber number = answers.Open();
//   ... the question goes out ...
//   auto answer = answers.Wait(number, deadline);   // Nothing when none came in time.
class StoreAnswers
{
public:
  // Returns a number to ask under. Requires that Wait() is called for it.
  QuestionNumber Open();

  // Waits until the answer is there or the time is over, and closes the question.
  std::optional<StoreAnswer> Wait(QuestionNumber aNumber, Duration aMost);

  // Hands an answer over; one that nobody waits for is dropped.
  void Fulfil(StoreAnswer aAnswer);

private:
  absl::Mutex mutex;
  QuestionNumber last ABSL_GUARDED_BY(mutex);
  std::map<QuestionNumber, std::optional<StoreAnswer>> open ABSL_GUARDED_BY(mutex);
};

} // namespace damasklink
