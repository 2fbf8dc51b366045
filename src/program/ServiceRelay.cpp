#include "ServiceRelay.h"

#include <algorithm>

#include "Responses.h"
#include "damasklink/state/Text.h"
#include "damasklink/transport/Log.h"

namespace damasklink {
namespace {

constexpr std::string_view kServicesPrefix = "/services/";

// Returns path and query as sent to the service: everything after "/services/<name>".
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
  , slot(aContext.admission)
{
}

HttpResponse
ServiceRelay::Run()
{
  if (auto refusal = this->Enter()) {
    return std::move(*refusal);
  }
  if (auto response = this->ClaimKey()) {
    return std::move(*response);
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
  this->slot.MarkAnswered();
  return response;
}

std::optional<HttpResponse>
ServiceRelay::Enter()
{
  AdmissionCall admission{ this->call.policy, PoolId("service/" + this->call.route.name.Value()) };
  admission.targets = this->Targets();
  admission.priority = this->call.priority;
  admission.deadline = this->deadline;
  auto refusal = this->slot.Enter(admission);
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
  keyed.maxRunTime = this->call.route.timeout;
  keyed.wait = this->TimeLeft();
  if (keyed.key.Empty()) {
    return std::nullopt;
  }
  ClaimResult result = this->context.claims.Claim(keyed, this->record);
  if (result.refusal) {
    return this->Failure(*result.refusal);
  }
  if (result.kept) {
    this->meter.OnServiceResponse();
    return ReplayResponse(*result.kept);
  }
  this->ticket = std::move(result.ticket);
  return std::nullopt;
}

Result<HttpClientResponse>
ServiceRelay::SendToSomeTarget()
{
  const std::vector<TargetRecord> targets = this->context.admission.Usable(this->Targets());
  Error lastError{ ErrorKind::Unavailable,
                   Concat("service '", this->call.route.name.Value(), "' has no usable target"),
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

// A call may be repeated if it certainly did not run, or if the route is idempotent and the call
// has no claim, both within the retry budget of this host.
bool
ServiceRelay::MayRepeat() const
{
  const bool notRun = this->record.Outcome() == RunOutcome::NotRun;
  const bool repeatable = this->call.route.idempotent && this->ticket == nullptr;
  const bool hasTime = this->TimeLeft() > Duration(0) && !this->context.state.MustStop();
  return hasTime && (notRun || repeatable) && this->context.state.TryTakeRetry();
}

Result<HttpClientResponse>
ServiceRelay::SendTo(const TargetRecord& aTarget)
{
  const std::size_t number = this->record.Attempts().size() + 1;
  const AttemptId attempt(Concat(this->call.id.Value(), "-", number));
  this->record.Begin(attempt, aTarget.id);
  AdmissionController& admission = this->context.admission;
  admission.OnStart(aTarget.id);
  const MonotonicTime start = this->context.host.clock.MonotonicNow();
  auto connected = HttpExchange::Connect(this->MakeCall(aTarget, attempt));
  if (!connected) {
    admission.OnEnd(aTarget.id, LoadSignal::Failed, HealthSignal::Bad, Duration(0));
    return Fail(connected.error());
  }
  const MonotonicTime now = this->context.host.clock.MonotonicNow();
  if (this->ticket != nullptr && !this->ticket->LeaseValid(now)) {
    admission.OnEnd(aTarget.id, LoadSignal::Failed, HealthSignal::None, Duration(0));
    return Fail(ErrorKind::DeadlineExceeded, "the claim of the key expired", "try again");
  }
  this->record.Advance(AttemptStage::Sending);
  auto answer = this->Exchange(*connected.value());
  this->record.Advance(answer ? AttemptStage::Finished : AttemptStage::Lost);
  admission.OnEnd(aTarget.id,
                  answer ? LoadSignal::Served : LoadSignal::Failed,
                  answer ? HealthSignal::Good : HealthSignal::Bad,
                  this->context.host.clock.MonotonicNow() - start);
  return answer;
}

// Reads the whole answer. The deadline of the call bounds the total time, not only each read.
Result<HttpClientResponse>
ServiceRelay::Exchange(HttpExchange& aExchange)
{
  if (auto sent = aExchange.Send(); !sent) {
    return Fail(sent.error());
  }
  aExchange.SetReadTimeout(this->TimeLeft());
  if (auto header = aExchange.ReadHeader(); !header) {
    return Fail(header.error());
  }
  HttpClientResponse answer;
  answer.status = aExchange.Status();
  answer.headers.emplace_back("content-type", aExchange.Header("content-type"));
  const std::size_t maxBody = this->context.host.settings.limits.requestBody.Value();
  while (answer.body.size() <= maxBody) {
    if (this->TimeLeft() <= Duration(0)) {
      return Fail(ErrorKind::DeadlineExceeded,
                  "the service did not finish its answer in time",
                  "raise the timeout of the service");
    }
    aExchange.SetReadTimeout(this->TimeLeft());
    auto chunk = aExchange.ReadSome();
    if (!chunk) {
      return Fail(chunk.error());
    }
    if (chunk.value().empty()) {
      return answer;
    }
    answer.body += chunk.value();
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
