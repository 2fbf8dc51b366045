// Carries one prompt to an engine and its answer back to the caller.
#pragma once

#include <memory>
#include <string>

#include "RelayContext.h"
#include "RequestMeter.h"
#include "damasklink/coordination/RelayPlan.h"
#include "damasklink/protocol/CallerApi.h"
#include "damasklink/transport/EngineStream.h"

namespace damasklink {

// A caller's prompt with all that its handler knows of it.
struct CompletionCall
{
  CompletionRequest request;
  ResolvedPolicy policy;
  RequestId id;
  // Empty when the caller sent none.
  IdempotencyKey key;
  Digest digest;
  // Longest time for the whole answer, as the caller asked.
  Duration timeLimit{ 0 };
  // As the caller asked; 0 goes first.
  std::uint64_t priority = 0;
};

// One request from its dispatch to its end, on one traffic thread.
//
//   CompletionRelay relay(context, call);
//   if (auto refusal = relay.Enter()) ...
//   if (auto kept = relay.Claim()) ...  // Only for a call with a key.
//   auto opened = relay.Open();         // Returns once an engine has begun to answer, or is late.
//   relay.Stream(writer);               // Or relay.Collect().
//
// A lost engine is made good as RelayPlan.h decides; the caller sees one whole answer or an
// explicit error. Holds the answer's text up to a bound, so that another engine can go on behind
// it.
class CompletionRelay
{
public:
  CompletionRelay(const RelayContext& aContext, CompletionCall aCall);
  ~CompletionRelay();
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
  Result<void> Open();

  // Passes the answer on as server-sent events. Returns whether it went out whole; an answer that
  // breaks off ends in an error event.
  bool Stream(StreamWriter& aWriter);

  // Returns the whole answer as one body.
  Result<std::string> Collect();

  // Counts the failure and returns what is to be said of it.
  CallerError Describe(Error aError);

private:
  // Returns the next text, empty only at the end of the answer. Requires Open().
  Result<std::string> NextText(const StreamWriter* aCaller);
  Result<std::string> PollOnce(const StreamWriter* aCaller);
  Result<void> CheckStillWanted(const StreamWriter* aCaller) const;

  // Begins on a target of the router's choice.
  Result<void> StartElsewhere();
  // Begins, or goes on, on the target in `decision`.
  Result<void> StartAttempt(const AttemptId& aAttempt);
  // Makes a lost attempt good. Fails with what the caller is to be told.
  Result<void> Recover(Error aError);
  Result<void> TakeStep(RelayStep aStep);

  // Requests of one pool fit the same targets, but for what their grants allow.
  PoolId Pool(bool aNoTarget) const;
  // Targets that could take the request, whatever their health.
  std::vector<TargetRecord> Eligible() const;
  // Closes the books on the attempt, if they are open.
  void CloseBooks(AttemptLoad aLoad, HealthSign aSign);
  void CloseBooksAfter(ErrorKind aFailure);

  void TakeText(const std::string& aText);
  void EndAttempt(bool aWhole);
  // aKept makes the body that is kept for the claim, if there is one.
  void EndWhole(const std::string& aType, const std::function<std::string()>& aKept);
  AnswerHeader Header() const;
  Duration TimeLeft() const;

  const RelayContext& context;
  CompletionCall call;
  RunningRequest running;
  RequestMeter meter;
  MonotonicTime deadline;
  AdmissionPlace place;
  RouteRequest route;
  RouteDecision decision;
  DispatchRecord record;
  // Settles the claim from the record, so it stands after it.
  std::unique_ptr<ClaimTicket> ticket;
  std::unique_ptr<EngineStream> stream;
  // The whole text so far, while it is held, and what the caller has yet to be sent.
  std::string answer;
  bool held = true;
  std::string pending;
  std::uint64_t tokens = 0;
  std::uint64_t tokensAtStart = 0;
  std::uint64_t tries = 0;
  bool resumed = false;
  bool outstanding = false;
  bool booksOpen = false;
  Duration firstToken{ 0 };
  MonotonicTime attemptBegun;
  MonotonicTime lastHeard;
};

} // namespace damasklink
