#include "ServiceRelay.h"

#include <algorithm>

#include "Responses.h"
#include "damasklink/state/Text.h"
#include "damasklink/transport/Log.h"

namespace damasklink {
namespace {

constexpr std::string_view kServicesPrefix = "/services/";

// Returns what the service sees as path and query: all behind "/services/<name>".
std::string
PathAtService(const HttpRequest& aRequest)
{
  const std::string_view target(aRequest.target);
  const std::size_t end = target.find_first_of("/?", kServicesPrefix.size());
  if (end == std::string_view::npos) {
    return "/";
  }
  const std::string rest(target.substr(end));
  return rest.starts_with('/') ? rest : "/" + rest;
}

std::vector<TargetRecord>
TargetsOf(const TrafficView& aView, const ServiceName& aName)
{
  std::vector<TargetRecord> targets;
  for (const TargetRecord& target : aView.targets) {
    if (target.kind == TargetKind::Service && target.service == aName) {
      targets.push_back(target);
    }
  }
  return targets;
}

} // namespace

ServiceRelay::ServiceRelay(const RelayContext& aContext, ServiceCall aCall)
  : context(aContext)
  , call(std::move(aCall))
  , running(aContext.state)
  , meter(aContext.host.metrics, aContext.host.clock, call.policy)
  , deadline(aContext.host.clock.MonotonicNow() + call.route.timeout)
  , place(aContext.admission)
{
}

HttpResponse
ServiceRelay::Run()
{
  if (auto refused = this->Enter()) {
    return std::move(*refused);
  }
  if (auto ended = this->ClaimKey()) {
    return std::move(*ended);
  }
  auto answer = this->SendToSomeTarget();
  if (!answer) {
    return this->Failure(CallerError{ answer.error(), this->record.Outcome(), std::nullopt });
  }
  HttpResponse response;
  response.status = answer.value().status;
  response.contentType = answer.value().headers.front().second;
  response.body = std::move(answer.value().body);
  if (this->ticket != nullptr) {
    this->ticket->Finish(KeptAnswer{ response.status, response.contentType, response.body });
  }
  this->meter.OnServiceResponse();
  this->place.NoteAnswered();
  return response;
}

std::optional<HttpResponse>
ServiceRelay::Enter()
{
  AdmissionCall asked{ this->call.policy, PoolId("service/" + this->call.route.name.Value()) };
  asked.targets = this->Targets();
  asked.priority = this->call.priority;
  asked.deadline = this->deadline;
  auto refusal = this->place.Enter(asked);
  if (!refusal) {
    return std::nullopt;
  }
  return this->Failure(*refusal);
}

std::vector<TargetRecord>
ServiceRelay::Targets() const
{
  return TargetsOf(*this->context.host.views.Get(), this->call.route.name);
}

std::optional<HttpResponse>
ServiceRelay::ClaimKey()
{
  KeyedCall keyed;
  keyed.workspace = this->call.policy.workspace;
  keyed.key = IdempotencyKey(this->call.request.Header("idempotency-key"));
  keyed.attempt = AttemptId(this->call.id.Value());
  keyed.body = CallDigest(this->call.request);
  keyed.longestRun = this->call.route.timeout;
  keyed.wait = this->TimeLeft();
  if (keyed.key.Empty()) {
    return std::nullopt;
  }
  ClaimEntrance entrance = this->context.claims.Enter(keyed, this->record);
  if (entrance.refusal) {
    return this->Failure(*entrance.refusal);
  }
  if (entrance.kept) {
    this->meter.OnServiceResponse();
    return ReplayResponse(*entrance.kept);
  }
  this->ticket = std::move(entrance.ticket);
  return std::nullopt;
}

Result<HttpAnswer>
ServiceRelay::SendToSomeTarget()
{
  const std::vector<TargetRecord> targets = this->context.admission.Usable(this->Targets());
  Error lastError{ ErrorKind::Unavailable,
                   Concat("service '", this->call.route.name.Value(), "' has no target now"),
                   "try again shortly" };
  const std::size_t start =
    targets.empty() ? 0 : std::hash<RequestId>{}(this->call.id) % targets.size();
  for (std::size_t index = 0; index < targets.size(); ++index) {
    auto answer = this->SendTo(targets[(start + index) % targets.size()]);
    if (answer || !this->MayRepeat()) {
      return answer;
    }
    this->meter.OnRetry();
    lastError = answer.error();
  }
  return Fail(lastError);
}

// What surely did not run may be sent again, and so may what does no harm twice; both only within
// the retry budget of this host.
bool
ServiceRelay::MayRepeat() const
{
  const bool notRun = this->record.Outcome() == RunOutcome::NotRun;
  const bool harmless = this->call.route.idempotent && this->ticket == nullptr;
  const bool wanted = this->TimeLeft() > Duration(0) && !this->context.state.MustStop();
  return wanted && (notRun || harmless) && this->context.state.TakeRetry();
}

Result<HttpAnswer>
ServiceRelay::SendTo(const TargetRecord& aTarget)
{
  const std::size_t number = this->record.Attempts().size() + 1;
  const AttemptId attempt(Concat(this->call.id.Value(), "-", number));
  this->record.Begin(attempt, aTarget.id);
  AdmissionDesk& desk = this->context.admission;
  desk.OnStart(aTarget.id);
  const MonotonicTime begun = this->context.host.clock.MonotonicNow();
  auto connected = HttpExchange::Connect(this->MakeCall(aTarget, attempt));
  if (!connected) {
    desk.OnEnd(aTarget.id, LoadSignal::Failed, HealthSignal::Bad, Duration(0));
    return Fail(connected.error());
  }
  const MonotonicTime now = this->context.host.clock.MonotonicNow();
  if (this->ticket != nullptr && !this->ticket->Leased(now)) {
    desk.OnEnd(aTarget.id, LoadSignal::Failed, HealthSignal::None, Duration(0));
    return Fail(ErrorKind::DeadlineExceeded, "the claim of the key ran out", "try again");
  }
  this->record.Advance(AttemptStage::Sending);
  auto answer = this->Exchange(*connected.value());
  this->record.Advance(answer ? AttemptStage::Finished : AttemptStage::Lost);
  desk.OnEnd(aTarget.id,
             answer ? LoadSignal::Served : LoadSignal::Failed,
             answer ? HealthSignal::Good : HealthSignal::Bad,
             this->context.host.clock.MonotonicNow() - begun);
  return answer;
}

// Reads the whole answer within the deadline of the call, however slowly it drips.
Result<HttpAnswer>
ServiceRelay::Exchange(HttpExchange& aExchange)
{
  if (auto sent = aExchange.Send(); !sent) {
    return Fail(sent.error());
  }
  aExchange.SetReadTimeout(this->TimeLeft());
  if (auto header = aExchange.ReadHeader(); !header) {
    return Fail(header.error());
  }
  HttpAnswer answer;
  answer.status = aExchange.Status();
  answer.headers.emplace_back("content-type", aExchange.Header("content-type"));
  const std::size_t mostBody = this->context.host.settings.limits.requestBody.Value();
  while (answer.body.size() <= mostBody) {
    if (this->TimeLeft() <= Duration(0)) {
      return Fail(ErrorKind::DeadlineExceeded,
                  "the service did not finish its answer in time",
                  "raise the timeout of the service");
    }
    aExchange.SetReadTimeout(this->TimeLeft());
    auto piece = aExchange.ReadSome();
    if (!piece) {
      return Fail(piece.error());
    }
    if (piece.value().empty()) {
      return answer;
    }
    answer.body += piece.value();
  }
  return Fail(ErrorKind::Overloaded, "the answer is too large", "raise limits.request_body");
}

HttpCall
ServiceRelay::MakeCall(const TargetRecord& aTarget, const AttemptId& aAttempt) const
{
  const HttpRequest& request = this->call.request;
  HttpCall made;
  made.endpoint = aTarget.endpoint;
  made.method = request.method;
  made.path = PathAtService(request);
  made.headers = { { "content-type", request.Header("content-type") },
                   { "x-workspace", this->call.policy.workspace.Value() },
                   { "x-attempt-id", aAttempt.Value() } };
  if (const std::string key = request.Header("idempotency-key"); !key.empty()) {
    made.headers.emplace_back("idempotency-key", key);
  }
  made.body = request.body;
  made.connectTimeout = std::min(this->context.host.settings.timeouts.connect, this->TimeLeft());
  made.readTimeout = this->TimeLeft();
  return made;
}

HttpResponse
ServiceRelay::Failure(const CallerError& aFailure)
{
  this->meter.OnFailure(aFailure);
  LogEvent(LogLevel::Warning, "service_call_failed")
    .With("request", this->call.id)
    .With("service", this->call.route.name)
    .With("outcome", RunOutcomeName(aFailure.outcome))
    .With("error", aFailure.error);
  return ErrorResponse(aFailure);
}

Duration
ServiceRelay::TimeLeft() const
{
  const Duration left = this->deadline - this->context.host.clock.MonotonicNow();
  return std::max(left, Duration(0));
}

} // namespace damasklink
