// One prompt's run over engines: attempts, resumptions and the text in hand.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "RelayContext.h"
#include "RequestMeter.h"
#include "damasklink/coordination/AttemptRecovery.h"
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

// Gets an answer's text in order from whichever engine has it. A lost engine is made good as
// RelayPlan.h decides. Holds the text up to a bound, so that another engine can go on behind it.
//
//   CompletionRun run(context, call, meter, record);
//   auto opened = run.Open();     // Returns once an engine has begun to answer, or is late.
//   while (!run.Ended()) { auto text = run.NextText(caller); ... }
//   run.End();
//
// Requires that the call, the meter and the record outlive it. Destroying it before End() cancels
// the run at the engine. Not thread-safe.
class CompletionRun
{
public:
  CompletionRun(const RelayContext& aContext,
                const CompletionCall& aCall,
                RequestMeter& aMeter,
                DispatchRecord& aRecord);
  ~CompletionRun();
  CompletionRun(const CompletionRun&) = delete;
  CompletionRun& operator=(const CompletionRun&) = delete;

  // Sets the right to run a call with a key; the run is then not started over.
  void SetTicket(const ClaimTicket* aTicket) { this->ticket = aTicket; }

  const RouteRequest& Route() const { return this->route; }
  // Requests of one pool fit the same targets, but for what their grants allow.
  PoolId Pool(bool aNoTarget) const;
  // Returns the targets that could take the request, whatever their health.
  std::vector<TargetRecord> Eligible() const;
  Duration TimeLeft() const;
  MonotonicTime Deadline() const { return this->deadline; }

  // Begins and waits a moment for the first text. Fails with what the caller is to be told.
  Result<void> Open();

  // Returns the next text, empty only at the end of the answer; aCaller may be null. Requires
  // Open(). Fails with what the caller is to be told.
  Result<std::string> NextText(const StreamWriter* aCaller);

  // Whether all of the answer was returned.
  bool Ended() const { return this->stream->Complete() && this->pending.empty(); }

  // Whether the whole text so far is held, and that text.
  bool Held() const { return this->held; }
  const std::string& Answer() const { return this->answer; }
  // Requires Ended().
  const StreamAssembler& Assembled() const { return this->stream->Assembled(); }

  // Tells that the whole answer was taken. Requires Ended().
  void End();

private:
  Result<std::string> PollOnce(const StreamWriter* aCaller);
  // Fails when the host stops or the deadline has passed.
  Result<void> CheckMayContinue() const;
  void TakeText(const std::string& aText);

  // Begins on a target of the router's choice.
  Result<void> StartOnNewTarget();
  // Begins, or goes on, on the target in `decision`.
  Result<void> StartAttempt(const AttemptId& aAttempt);
  // Makes a lost attempt good.
  Result<void> Recover(Error aError);
  Result<void> ExecuteStep(RecoveryStep aStep);
  void EndAttempt(bool aWhole);

  // Closes the books on the attempt, if they are open.
  void ReportAttemptEnd(LoadSignal aLoad, HealthSignal aSign);
  void ReportAttemptFailure(ErrorKind aFailure);

  const RelayContext& context;
  const CompletionCall& call;
  RequestMeter& meter;
  DispatchRecord& record;
  MonotonicTime deadline;
  const ClaimTicket* ticket = nullptr;
  RouteRequest route;
  RouteDecision decision;
  std::unique_ptr<EngineStream> stream;
  // The whole text so far, while it is held, and what the caller has yet to be sent.
  std::string answer;
  bool held = true;
  std::string pending;
  std::uint64_t tokens = 0;
  std::uint64_t tokensBefore = 0;
  std::uint64_t tries = 0;
  bool resumed = false;
  bool outstanding = false;
  bool booksOpen = false;
  Duration firstToken{ 0 };
  MonotonicTime attemptBegun;
  MonotonicTime lastHeard;
};

} // namespace damasklink
