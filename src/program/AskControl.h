// Synchronous calls from other threads into the control thread.
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

// Runs aAsk on the control thread, and waits until the reply function that aAsk gets is called, by
// aAsk itself or later. aAsk may run after this call has timed out, so it must capture by value
// what it needs.
//
//   auto answer = AskControl<Revision>(control, timeout, [&](ControlReply<Revision> aReply) {
//     aReply(tree.Current());
//   });
//
// Fails with Overloaded when the control thread's mailbox is full (aAsk was not run), and with
// DeadlineExceeded when there was no answer within aTimeout (aAsk may have been run). Must not be
// called on the control thread.
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
  // Shared, since the reply may be called after this call has timed out.
  const auto shared = std::make_shared<Shared>();
  ControlReply<T> reply = [shared](Result<T> aAnswer) {
    absl::MutexLock lock(&shared->mutex);
    shared->answer = std::move(aAnswer);
  };
  if (!aControl.Post([ask = std::move(aAsk), reply = std::move(reply)] { ask(reply); })) {
    return Fail(ErrorKind::Overloaded, "the control thread is overloaded", "try again shortly");
  }
  const auto answered = [&shared]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(shared->mutex) {
    return shared->answer.has_value();
  };
  absl::MutexLock lock(&shared->mutex);
  if (!shared->mutex.AwaitWithTimeout(absl::Condition(&answered), absl::FromChrono(aTimeout))) {
    return Fail(ErrorKind::DeadlineExceeded,
                "no answer came in time; it is not known whether the call was carried out",
                "send the same call again; a change id is never applied twice");
  }
  return std::move(*shared->answer);
}

} // namespace damasklink
