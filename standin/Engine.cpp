#include "Engine.h"

#include "damasklink/state/Text.h"
#include <cstdlib>
#include <thread>

namespace damasklink::standin {
namespace {

constexpr std::size_t kBytesPerToken = 4;
constexpr int kStatusUnavailable = 503;
constexpr int kStatusBadRequest = 400;
constexpr Duration kStallStep = std::chrono::milliseconds(50);

std::string
TokenEvent(const EnginePrompt& aPrompt, std::uint64_t aOffset)
{
  AnswerFrame frame;
  frame.attempt = aPrompt.attempt;
  frame.offset = aOffset;
  frame.tokens = 1;
  frame.text = Concat("t", aOffset, " ");
  return Concat("data: ", FormatAnswerFrame(frame), "\n\n");
}

void
SleepSeconds(double aSeconds)
{
  std::this_thread::sleep_for(std::chrono::duration<double>(aSeconds));
}

// Rounded up as the tokenizer does, or more tokens could be cached than there are.
std::size_t
CountTokens(const std::string& aText)
{
  return (aText.size() + kBytesPerToken - 1) / kBytesPerToken;
}

} // namespace

Engine::Engine(EngineOptions aOptions)
  : options(std::move(aOptions))
  , orders(this->options.models, this->options.orders)
  , cache(this->options.cache)
{
}

void
Engine::AddRoutes(HttpServer& aServer)
{
  this->orders.AddRoutes(aServer);
  this->cache.AddRoutes(aServer);
  this->orders.AddRoutes(aServer);
  aServer.Route("POST", "/v1/completions", [this](const HttpRequest& aRequest) {
    return this->Complete(aRequest);
  });
}

TargetRecord
Engine::Record() const
{
  TargetRecord record;
  record.id = this->options.id;
  record.kind = TargetKind::Engine;
  record.zone = this->options.zone;
  record.endpoint = this->options.listen;
  this->orders.Describe(record);
  record.rates.prefillTokensPerSecond = this->options.prefillTokensPerSecond;
  absl::MutexLock lock(&this->mutex);
  record.load.runningRequests = this->running;
  record.load.slots = this->options.slots;
  return record;
}

HttpResponse
Engine::Complete(const HttpRequest& aRequest)
{
  HttpResponse response;
  auto prompt = ParseEnginePrompt(aRequest.body);
  if (!prompt) {
    response.status = kStatusBadRequest;
    response.body = Describe(prompt.error());
    return response;
  }
  EngineFault fault;
  {
    absl::MutexLock lock(&this->mutex);
    if (this->answers++ % this->options.fault.every == 0) {
      fault = this->options.fault;
    }
    if (this->running >= this->options.slots || fault.kind == FaultKind::Refuse) {
      response.status = kStatusUnavailable;
      return response;
    }
    ++this->running;
  }
  response.contentType = "text/event-stream";
  response.stream = [this, fault, taken = prompt.value()](StreamWriter& aWriter) {
    const bool whole = this->Answer(taken, fault, aWriter);
    absl::MutexLock lock(&this->mutex);
    --this->running;
    return whole;
  };
  return response;
}

bool
Engine::Answer(const EnginePrompt& aPrompt, const EngineFault& aFault, StreamWriter& aWriter)
{
  const std::size_t reused = this->Prefill(aPrompt);
  if (!this->SendTokens(aPrompt, aFault, aWriter)) {
    return false;
  }
  AnswerFrame frame;
  frame.attempt = aPrompt.attempt;
  frame.offset = aPrompt.maxTokens;
  frame.end = true;
  frame.finishReason = "length";
  frame.usage = { TokenCount(CountTokens(aPrompt.prompt)),
                  TokenCount(aPrompt.maxTokens),
                  TokenCount(reused) };
  return aWriter.Write(Concat("data: ", FormatAnswerFrame(frame), "\n\ndata: [DONE]\n\n"));
}

std::size_t
Engine::Prefill(const EnginePrompt& aPrompt)
{
  const std::size_t prompt = CountTokens(aPrompt.prompt);
  const std::size_t reused = this->cache.Touch(
    { aPrompt.workspace, aPrompt.model, aPrompt.version, aPrompt.adapter }, aPrompt.prompt);
  SleepSeconds(static_cast<double>(prompt - reused) / this->options.prefillTokensPerSecond);
  return reused;
}

bool
Engine::SendTokens(const EnginePrompt& aPrompt, const EngineFault& aFault, StreamWriter& aWriter)
{
  for (std::uint64_t offset = aPrompt.offset; offset < aPrompt.maxTokens; ++offset) {
    const bool strikes = offset - aPrompt.offset == aFault.tokens;
    if (strikes && aFault.kind == FaultKind::Die) {
      std::_Exit(1);
    }
    if (strikes && aFault.kind == FaultKind::Cut) {
      return false;
    }
    while (strikes && aFault.kind == FaultKind::Stall && aWriter.IsOpen()) {
      std::this_thread::sleep_for(kStallStep);
    }
    const bool swapped = strikes && aFault.kind == FaultKind::Reorder;
    const std::string frame = TokenEvent(aPrompt, offset);
    const std::string other = swapped ? TokenEvent(aPrompt, offset + 1) : "";
    const std::string doubled = aFault.kind == FaultKind::Double ? frame : "";
    if (!aWriter.Write(Concat(other, frame, doubled))) {
      return false;
    }
    std::this_thread::sleep_for(this->options.tokenInterval);
  }
  return true;
}

} // namespace damasklink::standin
