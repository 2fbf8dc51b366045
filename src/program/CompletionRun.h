// Runs one prompt on engines: attempts, resumption and the text received so far.
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

// A caller's prompt, as parsed by its handler.
struct CompletionCall
{
  CompletionRequest request;
  ResolvedPolicy policy;
  RequestId id;
  // Empty when the caller sent no key.
  IdempotencyKey key;
  Digest digest;
  // Time limit for the whole answer, as the caller asked.
  Duration timeLimit{ 0 };
  // Requested by the caller; 0 is the highest.
  std::uint64_t priority = 0;
};

// Returns the text of an answer in order, from one engine or, after a failure, from several: lost
// attempts are recovered as AttemptRecovery.h decides. Buffers the text up to a limit, so that
// another engine can continue behind it.
//
//   CompletionRun run(context, call, meter, record);
//   auto opened = run.Open();     // Waits a limited time for the first text.
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

  // Sets the claim of a call with a key. Such a run is not started again, since it must not run
  // twice.
  void SetTicket(const ClaimTicket* aTicket) { this->ticket = aTicket; }

  const RouteRequest& Route() const { return this->route; }
  // Requests of one pool can use the same targets, except for what their grants allow. aNoTarget:
  // whether no target is eligible.
  PoolId Pool(bool aNoTarget) const;
  // Returns the targets that can serve the request, whatever their health.
  std::vector<TargetRecord> Eligible() const;
  Duration TimeLeft() const;
  MonotonicTime Deadline() const { return this->deadline; }

  // Starts the run and waits a limited time for the first text. Fails with the error for the
  // caller.
  Result<void> Open();

  // Returns the next text, empty only at the end of the answer. aCaller is checked for a disconnect
  // and may be null. Requires Open(). Fails with the error for the caller.
  Result<std::string> NextText(const StreamWriter* aCaller);

  // Whether the complete answer was returned.
  bool Ended() const { return this->stream->Complete() && this->pending.empty(); }

  // Whether the whole text so far is in the buffer, and that text.
  bool Buffered() const { return this->buffered; }
  const std::string& Answer() const { return this->answer; }
  // Requires Ended().
  const StreamAssembler& Assembled() const { return this->stream->Assembled(); }

  // Records that the complete answer was used. Requires Ended().
  void End();

private:
  Result<std::string> PollOnce(const StreamWriter* aCaller);
  // Fails when the host stops or the deadline has passed.
  Result<void> CheckMayContinue() const;
  void AppendText(const std::string& aText);

  // Starts an attempt on a target that the router chooses.
  Result<void> StartOnNewTarget();
  // Starts or resumes an attempt on the target in `decision`.
  Result<void> StartAttempt(const AttemptId& aAttempt);
  // Recovers from a lost attempt: resumes, repeats or continues it. Fails when none is possible.
  Result<void> Recover(Error aError);
  Result<void> ExecuteStep(RecoveryStep aStep);
  void EndAttempt(bool aWhole);

  // Reports the end of the attempt to admission, unless that was done already.
  void ReportAttemptEnd(LoadSignal aLoad, HealthSignal aHealth);
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
  // The whole text so far, while `buffered` is set.
  std::string answer;
  bool buffered = true;
  // Text that was not returned yet.
  std::string pending;
  // Tokens received in all, and before the current attempt.
  std::uint64_t tokens = 0;
  std::uint64_t tokensBefore = 0;
  // Consecutive attempts without new text, the current one included.
  std::uint64_t tries = 0;
  bool resumed = false;
  // Whether the router counts the request as sent to the target in `decision`.
  bool outstanding = false;
  // Whether the end of the attempt is yet to be reported to admission.
  bool attemptOpen = false;
  Duration firstToken{ 0 };
  MonotonicTime attemptStart;
  MonotonicTime lastProgress;
};

} // namespace damasklink
