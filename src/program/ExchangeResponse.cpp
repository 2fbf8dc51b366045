// How an Exchange receives a response that is not a stream, and what it keeps of request and
// response. The rest of the class is in the other Exchange*.cpp files.
#include "Exchange.h"

#include <algorithm>

#include "damasklink/state/Text.h"
#include "damasklink/state/Units.h"
#include "damasklink/transport/Log.h"

namespace damasklink {
namespace {

// How often a response that must be whole before it is passed on looks for memory.
constexpr Duration kMemoryCheckInterval = std::chrono::milliseconds(20);

// How long a response of unknown length looks for memory before it is passed on in parts. Meanwhile
// others end, or show that their target sends without end.
constexpr Duration kMaxMemoryWait = std::chrono::seconds(2);

// A body that still comes after this time, and after half of the call, has no end.
constexpr Duration kMinEndlessTime = std::chrono::seconds(2);

// A target that has been silent for longer may stand still, or its connection.
constexpr Duration kMaxPause = std::chrono::seconds(1);

constexpr std::size_t kPartBytes = std::size_t{ 64 } * 1024;

constexpr std::string_view kTooLong = "the response is too long; declare the route as a stream";

} // namespace

Awaitable<AttemptResult>
Exchange::ForwardWholeResponse(HttpResponseHead aHead)
{
  RemoveHopByHopFields(aHead.fields);
  const std::optional<std::uint64_t> length = this->channel->BodyLength();
  if (length.value_or(0) > ResponseBuffer::kMaxBytes) {
    this->endless = true;
    co_return this->GiveUpResponse(aHead.status, kTooLong);
  }
  ResponseBuffer body(this->context.memory, length);
  this->bodyBegunAt = this->context.clock.MonotonicNow();
  const bool failed = aHead.status >= 500;
  while (true) {
    const auto chunk = co_await this->ReadResponseChunk(aHead, body.Size());
    if (!chunk) {
      co_return AttemptResult::Broken;
    }
    if (!chunk->has_value()) {
      co_return co_await this->DeliverWhole(std::move(aHead), std::move(body).TakeBuffer());
    }
    if (!failed) {
      this->CancelStandby();
    }
    const std::string_view bytes = **chunk;
    if (body.Append(bytes)) {
      continue;
    }
    const bool kept = co_await this->AwaitMemory(body, bytes, length.has_value());
    if (kept) {
      continue;
    }
    if (this->interrupt != Interrupt::None) {
      co_return this->ResultOfInterrupt();
    }
    if (this->endless) {
      co_return this->GiveUpResponse(aHead.status, "there is no memory for a body without end");
    }
    co_return co_await this->PassOnParts(std::move(aHead), std::move(body).TakeBuffer(), bytes);
  }
}

AttemptResult
Exchange::GiveUpResponse(int aStatus, std::string_view aReason)
{
  LogEvent(LogLevel::Info, "target_broke")
    .With("request", this->call.request)
    .With("target", this->destination)
    .With("status", aStatus)
    .With("error", aReason);
  this->channel->Close();
  return AttemptResult::Broken;
}

// Returns the next chunk of the body, an empty one at its end, or nothing if the response is
// broken. aSoFar is what came before.
Awaitable<std::optional<std::optional<std::string_view>>>
Exchange::ReadResponseChunk(const HttpResponseHead& aHead, std::size_t aSoFar)
{
  const auto chunk = co_await this->channel->ReadChunk();
  if (!chunk) {
    this->endless = this->interrupt == Interrupt::Expired && this->IsSlowWithoutEnd();
    LogEvent(LogLevel::Info, "target_broke")
      .With("request", this->call.request)
      .With("status", aHead.status)
      .With("endless", this->endless)
      .With("error", chunk.error());
    co_return std::nullopt;
  }
  if (!chunk.value()) {
    co_return chunk.value();
  }
  if (aSoFar + chunk.value()->size() > ResponseBuffer::kMaxBytes) {
    this->endless = true;
    this->GiveUpResponse(aHead.status, kTooLong);
    co_return std::nullopt;
  }
  this->OnBytes(this->attemptTarget);
  co_return chunk.value();
}

// Returns whether the target went on sending a body for most of the call. A caller that takes parts
// slowly holds up its target, which says nothing.
bool
Exchange::IsSlowWithoutEnd() const
{
  const MonotonicTime now = this->context.clock.MonotonicNow();
  const Duration lasted = now - this->bodyBegunAt;
  return !this->partsBegun && lasted >= kMinEndlessTime && 2 * lasted >= now - this->arrived &&
         this->Silence() <= kMaxPause;
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
Exchange::PassOnParts(HttpResponseHead aHead, CountedBuffer aKept, std::string_view aUnkept)
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
  std::size_t passedOn = aKept.Size() + aUnkept.size();
  bool written = co_await this->WriteKept(aHead, std::move(aKept));
  if (written) {
    written = co_await this->WritePart(aHead, aUnkept);
  }
  while (written) {
    const auto chunk = co_await this->ReadResponseChunk(aHead, passedOn);
    if (!chunk) {
      co_return AttemptResult::Broken;
    }
    if (!chunk->has_value()) {
      break;
    }
    passedOn += (*chunk)->size();
    written = co_await this->WritePart(aHead, **chunk);
  }
  if (!written) {
    co_return AttemptResult::CallerLeft;
  }
  this->received = true;
  this->succeeded = aHead.status < 300;
  this->LogEnd("answered", aHead.status);
  const bool ended = co_await this->caller.EndStream();
  co_return ended ? AttemptResult::Delivered : AttemptResult::CallerLeft;
}

// Passes on what was kept, piece by piece, since each write copies it, and frees it.
Awaitable<bool>
Exchange::WriteKept(const HttpResponseHead& aHead, CountedBuffer aKept)
{
  std::string_view rest = aKept.Bytes();
  bool written = true;
  while (written && !rest.empty()) {
    written = co_await this->WritePart(aHead, rest.substr(0, kPartBytes));
    rest.remove_prefix(std::min(rest.size(), kPartBytes));
  }
  co_return written;
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

Awaitable<bool>
Exchange::AwaitMemory(ResponseBuffer& aBody, std::string_view aBytes, bool aStated)
{
  const MonotonicTime until = this->context.clock.MonotonicNow() + kMaxMemoryWait;
  asio::steady_timer pause(this->context.loop);
  // Nothing is read meanwhile, so the target's silence says nothing.
  this->writing = true;
  bool kept = false;
  while (!kept && !this->endless && this->interrupt == Interrupt::None) {
    const bool waited = aStated || this->context.clock.MonotonicNow() >= until;
    if (waited && this->MayPassOnParts()) {
      break;
    }
    pause.expires_after(kMemoryCheckInterval);
    co_await pause.async_wait(kAsValue);
    kept = aBody.Append(aBytes);
    this->endless =
      !kept && !aStated && this->context.health.SendsWithoutEnd(this->attemptTarget.id);
  }
  this->writing = false;
  this->lastBytesAt = this->context.clock.MonotonicNow();
  co_return kept;
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
