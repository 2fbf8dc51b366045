#include "CompletionRelay.h"

#include "damasklink/state/Text.h"
#include "damasklink/transport/Log.h"

namespace damasklink {
namespace {

constexpr int kMostAttempts = 3;

} // namespace

CompletionRelay::CompletionRelay(const RelayContext& aContext,
                                 CompletionRequest aRequest,
                                 const ResolvedPolicy& aPolicy,
                                 RequestId aId)
  : context(aContext)
  , request(std::move(aRequest))
  , id(std::move(aId))
{
  this->route.workspace = aPolicy.workspace;
  this->route.model = this->request.model;
  this->route.version = this->request.version;
  this->route.adapter = this->request.adapter;
  this->route.grants = aPolicy.models;
  this->route.objective = aPolicy.objective;
  aContext.reuse.LookUp(this->request.prompt, this->route);
}

CompletionRelay::~CompletionRelay()
{
  this->Finish(false);
}

Result<void>
CompletionRelay::Open()
{
  Error lastError;
  for (int attempt = 0; attempt < kMostAttempts; ++attempt) {
    auto tried = this->TryTarget();
    if (tried) {
      return Success();
    }
    const bool noTarget = tried.error().kind == ErrorKind::Unavailable && !this->outstanding;
    // A failure of an earlier attempt tells more than "no other target".
    if (!noTarget || attempt == 0) {
      lastError = tried.error();
    }
    this->Finish(false);
    if (noTarget) {
      break;
    }
    LogEvent(LogLevel::Warning, "attempt_failed")
      .With("request", this->id)
      .With("target", this->decision.target)
      .With("error", lastError);
  }
  return Fail(lastError);
}

Result<void>
CompletionRelay::TryTarget()
{
  const auto view = this->context.views.Get();
  auto chosen = this->context.routing.ChooseAndSend(this->route, view->targets);
  if (!chosen) {
    return Fail(chosen.error());
  }
  this->decision = chosen.value();
  this->outstanding = true;
  this->route.excluded.push_back(this->decision.target);

  this->context.reuse.Bring(this->route, this->decision);

  EnginePrompt prompt;
  prompt.attempt = AttemptId(Concat(this->id.Value(), "-", this->record.Attempts().size() + 1));
  prompt.workspace = this->route.workspace;
  prompt.model = this->request.model;
  prompt.version = this->decision.version;
  prompt.adapter = this->request.adapter;
  prompt.prompt = this->request.prompt;
  prompt.maxTokens = this->request.maxTokens;
  prompt.sampling = this->request.sampling;
  this->record.Begin(prompt.attempt, this->decision.target);

  EngineStreamOptions options;
  options.endpoint = this->decision.endpoint;
  options.connectTimeout = this->context.timeouts.connect;
  options.firstToken = this->context.timeouts.firstToken;
  options.betweenTokens = this->context.timeouts.betweenTokens;
  const MonotonicTime begun = this->context.clock.MonotonicNow();
  auto opened = EngineStream::Open(options, prompt, this->record);
  if (!opened) {
    return Fail(opened.error());
  }
  this->stream = std::move(opened.value());
  auto text = this->stream->Next();
  if (!text) {
    return Fail(text.error());
  }
  this->firstText = std::move(text.value());
  const Duration elapsed = this->context.clock.MonotonicNow() - begun;
  this->context.routing.FirstToken(this->route, this->decision, elapsed, TokenCount());
  return Success();
}

bool
CompletionRelay::Stream(StreamWriter& aWriter)
{
  const AnswerHeader header = this->Header();
  std::string text = std::move(this->firstText);
  while (true) {
    if (!text.empty() && !aWriter.Write(FormatDeltaEvent(header, text))) {
      this->Finish(false);
      return false;
    }
    if (this->stream->Complete()) {
      break;
    }
    auto next = this->stream->Next();
    if (!next) {
      aWriter.Write(FormatErrorEvent(FormatErrorBody(this->Describe(next.error()))));
      this->Finish(false);
      return false;
    }
    text = std::move(next.value());
  }
  const StreamAssembler& whole = this->stream->Assembled();
  this->context.reuse.Keep(this->route, this->decision, whole.Usage());
  const bool sent = aWriter.Write(FormatEndEvents(header, whole.FinishReason(), whole.Usage()));
  this->Finish(sent);
  return sent;
}

Result<std::string>
CompletionRelay::Collect()
{
  std::string text = std::move(this->firstText);
  while (!this->stream->Complete()) {
    auto next = this->stream->Next();
    if (!next) {
      return Fail(next.error());
    }
    text += next.value();
  }
  const StreamAssembler& whole = this->stream->Assembled();
  this->context.reuse.Keep(this->route, this->decision, whole.Usage());
  std::string body = FormatWholeAnswer(this->Header(), text, whole.FinishReason(), whole.Usage());
  this->Finish(true);
  return body;
}

CallerError
CompletionRelay::Describe(Error aError) const
{
  CallerError described;
  described.error = std::move(aError);
  described.outcome = this->record.Outcome();
  return described;
}

AnswerHeader
CompletionRelay::Header() const
{
  return AnswerHeader{
    this->id, this->request.style, this->request.model, this->context.clock.WallNow()
  };
}

void
CompletionRelay::Finish(bool aWhole)
{
  if (!this->outstanding) {
    return;
  }
  this->outstanding = false;
  this->stream.reset();
  this->context.routing.Done(this->route, this->decision, aWhole);
}

} // namespace damasklink
