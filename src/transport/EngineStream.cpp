#include "damasklink/transport/EngineStream.h"

#include "damasklink/state/Text.h"

namespace damasklink {
namespace {

constexpr std::size_t kMaxEventBytes = kMebibyte;
constexpr int kStatusOk = 200;
// Statuses that mean that the engine did not start the prompt.
constexpr int kStatusTooMany = 429;
constexpr int kStatusUnavailable = 503;
// Limits sending the prompt.
constexpr Duration kSendTimeout = std::chrono::seconds(5);

} // namespace

Result<std::unique_ptr<EngineStream>>
EngineStream::Open(const Endpoint& aEndpoint,
                   Duration aConnectTimeout,
                   const EnginePrompt& aPrompt,
                   DispatchRecord& aRecord)
{
  HttpCall call;
  call.endpoint = aEndpoint;
  call.method = "POST";
  call.path = "/v1/completions";
  call.headers = { { "content-type", "application/json" },
                   { "x-attempt-id", aPrompt.attempt.Value() } };
  call.body = FormatEnginePrompt(aPrompt);
  call.connectTimeout = aConnectTimeout;
  call.readTimeout = kSendTimeout;
  auto connected = HttpExchange::Connect(std::move(call));
  if (!connected) {
    return Fail(connected.error());
  }
  aRecord.Advance(AttemptStage::Sending);
  if (auto sent = connected.value()->Send(); !sent) {
    return Fail(sent.error());
  }
  return std::unique_ptr<EngineStream>(
    new EngineStream(std::move(connected.value()), aPrompt, aRecord));
}

EngineStream::EngineStream(std::unique_ptr<HttpExchange> aExchange,
                           const EnginePrompt& aPrompt,
                           DispatchRecord& aRecord)
  : exchange(std::move(aExchange))
  , record(aRecord)
  , assembler(aPrompt.attempt, aPrompt.offset)
  , reader(kMaxEventBytes)
{
}

Result<std::string>
EngineStream::Poll(Duration aTimeout)
{
  if (auto data = this->reader.Next()) {
    return this->HandleFrame(*data);
  }
  this->exchange->SetReadTimeout(aTimeout);
  auto read = this->headerRead ? this->ReadChunk() : this->ReadHeader();
  if (!read && read.error().kind == ErrorKind::DeadlineExceeded) {
    return std::string();
  }
  if (!read) {
    return this->FailAttempt(read.error());
  }
  if (auto data = this->reader.Next()) {
    return this->HandleFrame(*data);
  }
  return std::string();
}

Result<void>
EngineStream::ReadHeader()
{
  if (auto header = this->exchange->ReadHeader(); !header) {
    return header;
  }
  this->headerRead = true;
  const int status = this->exchange->Status();
  if (status == kStatusTooMany || status == kStatusUnavailable) {
    this->record.Advance(AttemptStage::Refused);
    return Fail(ErrorKind::Overloaded, "the engine is full", "try again shortly");
  }
  if (status != kStatusOk) {
    return Fail(ErrorKind::Interrupted,
                Concat("the engine answered with status ", status),
                "look at the engine's log");
  }
  this->record.Advance(AttemptStage::Answering);
  return Success();
}

Result<void>
EngineStream::ReadChunk()
{
  auto chunk = this->exchange->ReadSome();
  if (!chunk) {
    return Fail(chunk.error());
  }
  if (chunk.value().empty()) {
    return Fail(ErrorKind::Interrupted, "the answer ended before it was complete", "try again");
  }
  return this->reader.Feed(chunk.value());
}

Result<std::string>
EngineStream::HandleFrame(std::string_view aData)
{
  if (aData == "[DONE]") {
    return std::string();
  }
  auto frame = ParseAnswerFrame(aData);
  if (!frame) {
    return this->FailAttempt(frame.error());
  }
  auto text = this->assembler.Accept(frame.value());
  if (!text) {
    return this->FailAttempt(text.error());
  }
  if (this->Complete()) {
    this->record.Advance(AttemptStage::Finished);
  }
  return text;
}

Result<std::string>
EngineStream::FailAttempt(Error aError)
{
  this->record.Advance(AttemptStage::Lost);
  return Fail(std::move(aError));
}

} // namespace damasklink
