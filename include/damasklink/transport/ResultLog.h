// Logs the outcome of an operation.
//
//   LogEvent event(LogLevel::Info, result ? "order_done" : "order_failed");
//   AddError(event, result);
#pragma once

#include "damasklink/state/Error.h"
#include "damasklink/transport/Log.h"

namespace damasklink {

// Adds the field "error" with the error of the result.
template<typename T>
void
AddError(LogEvent& aEvent, const Result<T>& aResult)
{
  aEvent.With("error", aResult ? Error{} : aResult.error());
}

} // namespace damasklink
