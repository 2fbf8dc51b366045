// Logs the outcome of an operation.
//
//   LogEvent event(LogLevel::Info, result ? "order_done" : "order_failed");
//   AddError(event, result);
#pragma once

#include "damasklink/state/Error.h"
#include "damasklink/transport/Log.h"

namespace damasklink {

// Adds the field "error" where the operation failed.
template<typename T>
void
AddError(LogEvent& aEvent, const Result<T>& aResult)
{
  if (!aResult) {
    aEvent.With("error", aResult.error());
  }
}

} // namespace damasklink
