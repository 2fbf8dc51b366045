// Calls from a traffic thread into the control thread that wait for an answer.
#pragma once

#include <functional>
#include <memory>
#include <optional>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include "damasklink/state/Error.h"
#include "damasklink/transport/ControlLoop.h"

namespace damasklink {

// Runs aAsk on the control thread and waits until it calls the function that it was handed, then
// or later, with the answer. aAsk may run after this call has given up, so it holds what it needs
// by value.
//
//   auto answer = AskControl<Revision>(control, timeout, [&](ControlReply<Revision> aReply) {
//     aReply(tree.Current());
//   });
//
// Fails with Overloaded when the control thread's mailbox is full (nothing was run), and with
// DeadlineExceeded when no answer came in time.
template<typename T>
using ControlReply = std::function<void(Result<T>)>;

template<typename T>
Result<T>
AskControl(ControlLoop& aControl, Duration aTimeout, std::function<void(ControlReply<T>)> aAsk)
{
  struct Shared
  {
    absl::Mutex mutex;
    std::optional<Result<T>> answer ABSL_GUARDED_BY(mutex);
  };
  // Shared with a reply that may come after this call has given up.
  const auto shared = std::make_shared<Shared>();
  ControlReply<T> reply = [shared](Result<T> aAnswer) {
    absl::MutexLock lock(&shared->mutex);
    shared->answer = std::move(aAnswer);
  };
  if (!aControl.Post([ask = std::move(aAsk), reply = std::move(reply)] { ask(reply); })) {
    return Fail(ErrorKind::Overloaded, "the control thread is behind", "try again shortly");
  }
  const auto answered = [&shared]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(shared->mutex) {
    return shared->answer.has_value();
  };
  absl::MutexLock lock(&shared->mutex);
  if (!shared->mutex.AwaitWithTimeout(absl::Condition(&answered), absl::FromChrono(aTimeout))) {
    return Fail(ErrorKind::DeadlineExceeded,
                "no answer came in time; it is not known whether it was done",
                "send the same again; a change is never made twice under one change id");
  }
  return std::move(*shared->answer);
}

} // namespace damasklink
