// Relays one prompt to an engine, and the answer to the caller.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "CompletionRun.h"

namespace damasklink {

// Handles one completion request: admission, claim, run and answer. Used by one traffic thread at a
// time.
//
//   CompletionRelay relay(context, call);
//   if (auto refusal = relay.Enter()) ...
//   if (auto response = relay.Claim()) ...  // Only for a call with an idempotency key.
//   auto opened = relay.Open();             // Waits a limited time for the first text.
//   relay.Stream(writer);                   // Or relay.Collect().
//
// The caller gets one complete answer or an explicit error.
class CompletionRelay
{
public:
  CompletionRelay(const RelayContext& aContext, CompletionCall aCall);
  CompletionRelay(const CompletionRelay&) = delete;
  CompletionRelay& operator=(const CompletionRelay&) = delete;

  // Whether this host accepts the request. No other function may be called if it does not.
  bool Accepted() const { return this->running.Accepted(); }

  // Waits for admission. Returns the refusal when the request must not run.
  std::optional<CallerError> Enter();

  // Claims the call's key. Returns the response when the prompt must not run: a refusal or the
  // answer of an earlier call.
  std::optional<HttpResponse> Claim();

  // Starts the run and waits a limited time for the first text, so that an early failure still gets
  // an HTTP status of its own.
  Result<void> Open() { return this->run.Open(); }

  // Sends the answer as server-sent events. Returns whether it was sent completely; an interrupted
  // answer ends with an error event.
  bool Stream(StreamWriter& aWriter);

  // Returns the complete answer as one body.
  Result<std::string> Collect();

  // Counts and logs the failure, and returns it with the outcome of the request.
  CallerError Describe(Error aError);

private:
  // Ends a complete answer. aKept makes the body that is kept with the claim, if there is one.
  void FinishAnswer(const std::string& aType, const std::function<std::string()>& aKept);
  CompletionHeader Header() const;

  const RelayContext& context;
  CompletionCall call;
  RunningRequest running;
  RequestMeter meter;
  AdmissionSlot slot;
  DispatchRecord record;
  // Declared after the record, from which its destructor settles the claim.
  std::unique_ptr<ClaimTicket> ticket;
  CompletionRun run;
};

} // namespace damasklink
