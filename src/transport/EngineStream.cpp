#include "damasklink/transport/EngineStream.h"
#include "damasklink/state/Text.h"

namespace damasklink {
namespace {

constexpr std::size_t kMostEventBytes = kMebibyte;
constexpr int kStatusOk = 200;
// Statuses with which an engine says that it did not begin.
constexpr int kStatusTooMany = 429;
constexpr int kStatusUnavailable = 503;

Result<std::unique_ptr<HttpExchange>>
SendPrompt(const EngineStreamOptions& aOptions,
           const EnginePrompt& aPrompt,
           DispatchRecord& aRecord)
{
  HttpCall call;
  call.endpoint = aOptions.endpoint;
  call.method = "POST";
  call.path = "/v1/completions";
  call.headers = { { "content-type", "application/json" },
                   { "x-attempt-id", aPrompt.attempt.Value() } };
  call.body = FormatEnginePrompt(aPrompt);
  call.connectTimeout = aOptions.connectTimeout;
  call.readTimeout = aOptions.firstToken;
  auto connected = HttpExchange::Connect(std::move(call));
  if (!connected) {
    return connected;
  }
  aRecord.Advance(AttemptStage::Sending);
  if (auto sent = connected.value()->Send(); !sent) {
    return Fail(sent.error());
  }
  if (auto header = connected.value()->ReadHeader(); !header) {
    return Fail(header.error());
  }
  return connected;
}

} // namespace

Result<std::unique_ptr<EngineStream>>
EngineStream::Open(const EngineStreamOptions& aOptions,
                   const EnginePrompt& aPrompt,
                   DispatchRecord& aRecord)
{
  auto sent = SendPrompt(aOptions, aPrompt, aRecord);
  if (!sent) {
    return Fail(sent.error());
  }
  const int status = sent.value()->Status();
  if (status == kStatusTooMany || status == kStatusUnavailable) {
    aRecord.Advance(AttemptStage::Refused);
    return Fail(ErrorKind::Overloaded, "the engine is full", "try again shortly");
  }
  if (status != kStatusOk) {
    return Fail(ErrorKind::Interrupted,
                Concat("the engine answered with status ", status),
                "look at the engine's log");
  }
  return std::unique_ptr<EngineStream>(
    new EngineStream(std::move(sent.value()), aOptions, aPrompt, aRecord));
}

EngineStream::EngineStream(std::unique_ptr<HttpExchange> aExchange,
                           const EngineStreamOptions& aOptions,
                           const EnginePrompt& aPrompt,
                           DispatchRecord& aRecord)
  : exchange(std::move(aExchange))
  , options(aOptions)
  , record(aRecord)
  , assembler(aPrompt.attempt, aPrompt.offset)
  , reader(kMostEventBytes)
{
}

Result<std::string>
EngineStream::Next()
{
  while (true) {
    if (auto data = this->reader.Next()) {
      if (*data == "[DONE]") {
        continue;
      }
      auto frame = ParseAnswerFrame(*data);
      if (!frame) {
        return this->Lose(frame.error());
      }
      auto text = this->assembler.Accept(frame.value());
      if (!text) {
        return this->Lose(text.error());
      }
      if (this->Complete()) {
        this->record.Advance(AttemptStage::Finished);
      }
      return text;
    }
    auto piece = this->exchange->ReadSome();
    if (!piece) {
      return this->Lose(piece.error());
    }
    if (piece.value().empty()) {
      return this->Lose(
        Error{ ErrorKind::Interrupted, "the answer ended without its end mark", "try again" });
    }
    if (!this->answering) {
      this->answering = true;
      this->record.Advance(AttemptStage::Answering);
      this->exchange->SetReadTimeout(this->options.betweenTokens);
    }
    if (auto fed = this->reader.Feed(piece.value()); !fed) {
      return this->Lose(fed.error());
    }
  }
}

Result<std::string>
EngineStream::Lose(Error aError)
{
  this->record.Advance(AttemptStage::Lost);
  return Fail(std::move(aError));
}

} // namespace damasklink
