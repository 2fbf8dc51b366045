// Carries one prompt to an engine and its answer back to the caller.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "CompletionRun.h"

namespace damasklink {

// One request from its dispatch to its end, on one traffic thread.
//
//   CompletionRelay relay(context, call);
//   if (auto refusal = relay.Enter()) ...
//   if (auto kept = relay.Claim()) ...  // Only for a call with a key.
//   auto opened = relay.Open();         // Returns once an engine has begun to answer, or is late.
//   relay.Stream(writer);               // Or relay.Collect().
//
// The caller sees one whole answer or an explicit error.
class CompletionRelay
{
public:
  CompletionRelay(const RelayContext& aContext, CompletionCall aCall);
  CompletionRelay(const CompletionRelay&) = delete;
  CompletionRelay& operator=(const CompletionRelay&) = delete;

  // Whether this host still takes new work. Requires it of all that follows.
  bool Accepted() const { return this->running.Begun(); }

  // Waits for the request's turn. Returns the refusal when it must not run.
  std::optional<CallerError> Enter();

  // Claims the call's key. Returns the response when the prompt must not be run.
  std::optional<HttpResponse> Claim();

  // Begins the run and waits a moment for the first text, so that an early failure still gets a
  // status of its own.
  Result<void> Open() { return this->run.Open(); }

  // Passes the answer on as server-sent events. Returns whether it went out whole; an answer that
  // breaks off ends in an error event.
  bool Stream(StreamWriter& aWriter);

  // Returns the whole answer as one body.
  Result<std::string> Collect();

  // Counts the failure and returns what is to be said of it.
  CallerError Describe(Error aError);

private:
  // aKept makes the body that is kept for the claim, if there is one.
  void FinishAnswer(const std::string& aType, const std::function<std::string()>& aKept);
  AnswerHeader Header() const;

  const RelayContext& context;
  CompletionCall call;
  RunningRequest running;
  RequestMeter meter;
  AdmissionSlot place;
  DispatchRecord record;
  // Settles the claim from the record, so it stands after it.
  std::unique_ptr<ClaimTicket> ticket;
  CompletionRun run;
};

} // namespace damasklink
