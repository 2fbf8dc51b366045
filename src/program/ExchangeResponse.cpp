// How an Exchange receives a response that is not a stream, and what it keeps of request and
// response. The rest of the class is in the other Exchange*.cpp files.
#include "Exchange.h"

#include "damasklink/state/Text.h"
#include "damasklink/state/Units.h"
#include "damasklink/transport/Log.h"

namespace damasklink {
namespace {

// Largest response that is buffered, so that another target can be tried when it breaks off.
// Streams are not buffered; a larger response counts as broken.
constexpr std::size_t kMaxBufferedResponse = std::size_t{ 4 } * 1024 * 1024;

// How often a response that must be whole before it is passed on looks for memory.
constexpr Duration kMemoryCheckInterval = std::chrono::milliseconds(20);

} // namespace

Awaitable<AttemptResult>
Exchange::ForwardWholeResponse(HttpResponseHead aHead)
{
  RemoveHopByHopFields(aHead.fields);
  CountedBuffer body(this->context.memory, MemoryUse::Responses);
  const bool failed = aHead.status >= 500;
  const std::uint64_t length = this->channel->BodyLength().value_or(0);
  bool fits = length > kMaxBufferedResponse || body.Reserve(length);
  std::string_view unkept;
  while (fits) {
    const auto chunk = co_await this->ReadResponseChunk(aHead, body.Size());
    if (!chunk) {
      co_return AttemptResult::Broken;
    }
    if (!chunk->has_value()) {
      co_return co_await this->DeliverWhole(std::move(aHead), std::move(body));
    }
    if (!failed) {
      this->CancelStandby();
    }
    unkept = **chunk;
    fits = body.Append(unkept);
  }
  if (!this->MayPassOnParts()) {
    co_return co_await this->ForwardOnceThereIsMemory(std::move(aHead), std::move(body), unkept);
  }
  co_return co_await this->PassOnParts(std::move(aHead), body.Bytes(), unkept);
}

// Returns the next chunk of the body, an empty one at its end, or nothing if the response is
// broken. aSoFar is what came before.
Awaitable<std::optional<std::optional<std::string_view>>>
Exchange::ReadResponseChunk(const HttpResponseHead& aHead, std::size_t aSoFar)
{
  const auto chunk = co_await this->channel->ReadChunk();
  const bool tooLong =
    chunk && chunk.value() && aSoFar + chunk.value()->size() > kMaxBufferedResponse;
  if (!chunk || tooLong) {
    LogEvent event(LogLevel::Info, "target_broke");
    event.With("request", this->call.request).With("status", aHead.status);
    if (tooLong) {
      event.With("error", "the response is too long; declare the route as a stream");
      this->channel->Close();
    } else {
      event.With("error", chunk.error());
    }
    co_return std::nullopt;
  }
  if (chunk.value()) {
    this->OnBytes(this->attemptTarget);
  }
  co_return chunk.value();
}

Awaitable<AttemptResult>
Exchange::DeliverWhole(HttpResponseHead aHead, CountedBuffer aBody)
{
  this->received = true;
  if (aHead.status >= 500) {
    this->failedResponse.emplace(BufferedResponse{ std::move(aHead), std::move(aBody) });
    co_return AttemptResult::Failed;
  }
  const std::optional<MemoryReservation> copies = co_await this->ReserveCopies(aBody.Size());
  if (!copies) {
    co_return this->ResultOfInterrupt();
  }
  this->deadline->Disarm();
  this->succeeded = aHead.status < 300;
  this->LogEnd("answered", aHead.status);
  HttpResponseMessage response{ std::move(aHead), aBody.TakeBytes() };
  const bool written = co_await this->WriteResponse(std::move(response));
  co_return written ? AttemptResult::Delivered : AttemptResult::CallerLeft;
}

// Returns what the copies count that are made to send the response to another host. Returns nothing
// if the call is interrupted before there is room.
Awaitable<std::optional<MemoryReservation>>
Exchange::ReserveCopies(std::size_t aBytes)
{
  const std::size_t bytes = this->forwardedLimits ? kForwardingCopies * aBytes : 0;
  asio::steady_timer pause(this->context.loop);
  while (this->interrupt == Interrupt::None) {
    if (auto reserved = this->context.memory.TryReserve(MemoryUse::ForwardedCalls, bytes)) {
      co_return reserved;
    }
    pause.expires_after(kMemoryCheckInterval);
    co_await pause.async_wait(kAsValue);
  }
  co_return std::nullopt;
}

// Another host expects events in what is not whole, and HTTP/1.0 has no chunks.
bool
Exchange::MayPassOnParts() const
{
  return !this->forwardedLimits && this->request->head.version >= 11;
}

// Passes on a response for which there is no memory while it comes. A retry can't follow, and if
// the response breaks off, so does what the caller gets.
Awaitable<AttemptResult>
Exchange::PassOnParts(HttpResponseHead aHead, std::string_view aFirst, std::string_view aSecond)
{
  LogEvent(LogLevel::Info, "response_passed_on_in_parts")
    .With("request", this->call.request)
    .With("target", this->destination)
    .With("held", this->context.memory.Held())
    .With("limit", this->context.memory.Limit());
  this->CancelStandby();
  this->plan->MarkPassedOn();
  this->plan->ForbidRepeats();
  this->closeAnnounced = this->ShouldCloseCallerConnection();
  std::size_t passedOn = aFirst.size() + aSecond.size();
  std::string first(aFirst);
  first += aSecond;
  while (true) {
    if (!first.empty()) {
      const bool written = co_await this->WritePart(aHead, first);
      if (!written) {
        co_return AttemptResult::CallerLeft;
      }
    }
    const auto chunk = co_await this->ReadResponseChunk(aHead, passedOn);
    if (!chunk) {
      co_return AttemptResult::Broken;
    }
    if (!chunk->has_value()) {
      break;
    }
    first = **chunk;
    passedOn += first.size();
  }
  this->received = true;
  this->succeeded = aHead.status < 300;
  this->LogEnd("answered", aHead.status);
  if (passedOn == 0) {
    HttpResponseMessage empty{ std::move(aHead), "" };
    const bool written = co_await this->WriteResponse(std::move(empty));
    co_return written ? AttemptResult::Delivered : AttemptResult::CallerLeft;
  }
  const bool ended = co_await this->caller.EndStream();
  co_return ended ? AttemptResult::Delivered : AttemptResult::CallerLeft;
}

Awaitable<bool>
Exchange::WritePart(const HttpResponseHead& aHead, std::string_view aPart)
{
  this->writing = true;
  bool written = false;
  if (this->partsBegun) {
    written = co_await this->caller.WriteChunk(aPart);
  } else {
    this->partsBegun = true;
    written = co_await this->caller.BeginStream(aHead, aPart, this->closeAnnounced);
  }
  this->writing = false;
  co_return written;
}

Awaitable<AttemptResult>
Exchange::ForwardOnceThereIsMemory(HttpResponseHead aHead,
                                   CountedBuffer aBody,
                                   std::string_view aUnkept)
{
  asio::steady_timer pause(this->context.loop);
  std::string unkept(aUnkept);
  while (this->interrupt == Interrupt::None) {
    while (!aBody.Append(unkept) && this->interrupt == Interrupt::None) {
      pause.expires_after(kMemoryCheckInterval);
      co_await pause.async_wait(kAsValue);
    }
    const auto chunk = co_await this->ReadResponseChunk(aHead, aBody.Size());
    if (!chunk) {
      co_return AttemptResult::Broken;
    }
    if (!chunk->has_value()) {
      co_return co_await this->DeliverWhole(std::move(aHead), std::move(aBody));
    }
    unkept = **chunk;
  }
  co_return this->ResultOfInterrupt();
}

std::size_t
Exchange::GiveBackBody()
{
  const std::size_t counted = this->request->memory.Bytes();
  const bool kept = counted > MemoryBudget::kSmallBytes && !this->IsResumable();
  if (!this->bodySent || !kept || this->standby != nullptr || this->channel == nullptr) {
    return 0;
  }
  const std::size_t bytes = this->request->body.size();
  this->bodyGivenBack = true;
  FreeText(this->request->body);
  this->request->memory.TryResize(counted - bytes);
  LogEvent(LogLevel::Info, "sent_body_given_back")
    .With("request", this->call.request)
    .With("target", this->destination)
    .With("bytes", bytes);
  return bytes;
}

} // namespace damasklink
