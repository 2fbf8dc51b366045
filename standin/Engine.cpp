#include "Engine.h"

#include "damasklink/state/Text.h"
#include <thread>

namespace damasklink::standin {
namespace {

constexpr std::size_t kBytesPerToken = 4;
constexpr int kStatusUnavailable = 503;
constexpr int kStatusBadRequest = 400;

void
SleepSeconds(double aSeconds)
{
  std::this_thread::sleep_for(std::chrono::duration<double>(aSeconds));
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
  {
    absl::MutexLock lock(&this->mutex);
    if (this->running >= this->options.slots) {
      response.status = kStatusUnavailable;
      return response;
    }
    ++this->running;
  }
  response.contentType = "text/event-stream";
  response.stream = [this, taken = prompt.value()](StreamWriter& aWriter) {
    const bool whole = this->Answer(taken, aWriter);
    absl::MutexLock lock(&this->mutex);
    --this->running;
    return whole;
  };
  return response;
}

bool
Engine::Answer(const EnginePrompt& aPrompt, StreamWriter& aWriter)
{
  // Rounded up as the tokenizer does, or more tokens could be cached than there are.
  const std::size_t prompt = (aPrompt.prompt.size() + kBytesPerToken - 1) / kBytesPerToken;
  const std::size_t reused = this->cache.Touch(
    { aPrompt.workspace, aPrompt.model, aPrompt.version, aPrompt.adapter }, aPrompt.prompt);
  SleepSeconds(static_cast<double>(prompt - reused) / this->options.prefillTokensPerSecond);
  AnswerFrame frame;
  frame.attempt = aPrompt.attempt;
  for (std::uint64_t offset = aPrompt.offset; offset < aPrompt.maxTokens; ++offset) {
    frame.offset = offset;
    frame.tokens = 1;
    frame.text = Concat("t", offset, " ");
    if (!aWriter.Write(Concat("data: ", FormatAnswerFrame(frame), "\n\n"))) {
      return false;
    }
    std::this_thread::sleep_for(this->options.tokenInterval);
  }
  frame.offset = aPrompt.maxTokens;
  frame.tokens = 0;
  frame.text.clear();
  frame.end = true;
  frame.finishReason = "length";
  frame.usage = { TokenCount(prompt), TokenCount(aPrompt.maxTokens), TokenCount(reused) };
  return aWriter.Write(Concat("data: ", FormatAnswerFrame(frame), "\n\ndata: [DONE]\n\n"));
}

} // namespace damasklink::standin
