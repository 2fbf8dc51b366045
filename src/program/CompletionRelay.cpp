#include "CompletionRelay.h"

#include "Responses.h"
#include "damasklink/transport/Log.h"

namespace damasklink {
namespace {

// Prompt and answer tokens that are charged as much as a request itself.
constexpr double kTokensPerCost = 1000;

} // namespace

CompletionRelay::CompletionRelay(const RelayContext& aContext, CompletionCall aCall)
  : context(aContext)
  , call(std::move(aCall))
  , running(aContext.state)
  , meter(aContext.host.metrics, aContext.host.clock, call.policy)
  , slot(aContext.admission)
  , run(aContext, call, meter, record)
{
}

std::optional<CallerError>
CompletionRelay::Enter()
{
  const double tokens =
    static_cast<double>(this->run.Route().promptTokens.Value() + this->call.request.maxTokens);
  std::vector<TargetRecord> eligible = this->run.Eligible();
  AdmissionCall admission{ this->call.policy, this->run.Pool(eligible.empty()) };
  admission.targets = std::move(eligible);
  admission.priority = this->call.priority;
  admission.promptTokens = this->run.Route().promptTokens;
  admission.cost = 1 + tokens / kTokensPerCost;
  admission.deadline = this->run.Deadline();
  auto refusal = this->slot.Enter(admission);
  if (refusal) {
    this->meter.OnFailure(*refusal);
  }
  return refusal;
}

std::optional<HttpResponse>
CompletionRelay::Claim()
{
  KeyedCall keyed;
  keyed.workspace = this->run.Route().workspace;
  keyed.key = this->call.key;
  keyed.attempt = AttemptId(this->call.id.Value());
  keyed.body = this->call.digest;
  keyed.maxRunTime = this->call.timeLimit;
  keyed.wait = this->run.TimeLeft();
  ClaimResult result = this->context.claims.Claim(keyed, this->record);
  if (result.refusal) {
    this->meter.OnFailure(*result.refusal);
    return ErrorResponse(*result.refusal);
  }
  if (result.kept) {
    this->meter.OnServiceResponse();
    return ReplayResponse(*result.kept);
  }
  this->ticket = std::move(result.ticket);
  this->run.SetTicket(this->ticket.get());
  return std::nullopt;
}

bool
CompletionRelay::Stream(StreamWriter& aWriter)
{
  const CompletionHeader header = this->Header();
  while (!this->run.Ended()) {
    auto next = this->run.NextText(&aWriter);
    if (!next) {
      aWriter.Write(FormatErrorEvent(FormatErrorBody(this->Describe(next.error()))));
      return false;
    }
    if (!next.value().empty() && !aWriter.Write(FormatDeltaEvent(header, next.value()))) {
      this->Describe(Error{ ErrorKind::Cancelled, "the caller disconnected", "" });
      return false;
    }
  }
  const StreamAssembler& assembled = this->run.Assembled();
  const std::string end = FormatFinalEvents(header, assembled.FinishReason(), assembled.Usage());
  this->FinishAnswer("text/event-stream",
                     [&] { return FormatDeltaEvent(header, this->run.Answer()) + end; });
  return aWriter.Write(end);
}

Result<std::string>
CompletionRelay::Collect()
{
  while (!this->run.Ended()) {
    if (auto next = this->run.NextText(nullptr); !next) {
      return next;
    }
    if (!this->run.Buffered()) {
      return Fail(ErrorKind::InvalidArgument, "the answer is too large", "ask for it as a stream");
    }
  }
  const StreamAssembler& assembled = this->run.Assembled();
  std::string body = FormatCompletion(
    this->Header(), this->run.Answer(), assembled.FinishReason(), assembled.Usage());
  this->FinishAnswer("application/json", [&] { return body; });
  return body;
}

void
CompletionRelay::FinishAnswer(const std::string& aType, const std::function<std::string()>& aKept)
{
  const AnswerUsage& usage = this->run.Assembled().Usage();
  this->meter.OnEngineAnswer(usage);
  this->slot.MarkAnswered();
  if (this->ticket != nullptr) {
    std::optional<KeptAnswer> kept;
    if (this->run.Buffered()) {
      kept = KeptAnswer{ 200, aType, aKept() };
    }
    this->ticket->Finish(std::move(kept));
  }
  this->run.End();
}

CallerError
CompletionRelay::Describe(Error aError)
{
  CallerError described;
  described.error = std::move(aError);
  described.outcome = this->record.Outcome();
  if (described.outcome == RunOutcome::NotRun) {
    described.retryAfter = std::chrono::seconds(1);
  }
  this->meter.OnFailure(described);
  LogEvent(LogLevel::Warning, "request_failed")
    .With("request", this->call.id)
    .With("outcome", RunOutcomeName(described.outcome))
    .With("error", described.error);
  return described;
}

CompletionHeader
CompletionRelay::Header() const
{
  return CompletionHeader{ this->call.id,
                           this->call.request.style,
                           this->call.request.model,
                           this->context.host.clock.WallNow() };
}

} // namespace damasklink
