#include "damasklink/transport/FrameScheduler.h"

#include <algorithm>
#include <utility>

#include "damasklink/transport/FrameCodec.h"

namespace damasklink {
namespace {

// What an envelope adds to a payload, about.
constexpr std::size_t kEnvelopeBytes = 96;

void
AppendFrame(std::string& aTo, const Envelope& aEnvelope)
{
  const std::string frame = EncodeEnvelope(aEnvelope);
  const FramePrefix length = EncodeFrameLength(frame.size());
  aTo.append(reinterpret_cast<const char*>(length.data()), length.size());
  aTo.append(frame);
}

} // namespace

FrameScheduler::FrameScheduler(HostId aSelf)
  : self(std::move(aSelf))
{
}

std::size_t
FrameScheduler::BytesOf(const PeerMessage& aMessage)
{
  return aMessage.payload.size() + aMessage.group.Value().size() + kEnvelopeBytes;
}

FrameScheduler::StreamId
FrameScheduler::StreamOf(const PeerMessage& aMessage)
{
  return StreamId{ aMessage.channel, aMessage.group, aMessage.stream };
}

bool
FrameScheduler::IsLarge(const PeerMessage& aMessage) const
{
  return this->fragmentsAllowed && aMessage.payload.size() > kFragmentBytes;
}

Envelope
FrameScheduler::MakeEnvelope(const PeerMessage& aMessage) const
{
  Envelope envelope;
  envelope.from = this->self;
  envelope.channel = static_cast<std::uint8_t>(aMessage.channel);
  envelope.group = aMessage.group;
  envelope.takesFragments = true;
  return envelope;
}

void
FrameScheduler::Push(PeerMessage aMessage)
{
  this->queuedBytes += BytesOf(aMessage);
  if (aMessage.payload.size() > kFragmentBytes) {
    this->large.insert(BytesOf(aMessage));
  }
  const StreamId stream = StreamOf(aMessage);
  const auto found = this->blocked.find(stream);
  if (found != this->blocked.end()) {
    found->second.messages.push_back(std::move(aMessage));
  } else if (this->IsLarge(aMessage)) {
    Blocked& added = this->blocked[stream];
    added.messages.push_back(std::move(aMessage));
    this->Begin(added);
    this->turns.push_back(stream);
  } else {
    this->whole.push_back(std::move(aMessage));
  }
}

void
FrameScheduler::Begin(Blocked& aStream)
{
  aStream.number = ++this->lastNumber;
  aStream.offset = 0;
}

std::string
FrameScheduler::Next(std::size_t aBytes)
{
  std::string bytes;
  while (!this->whole.empty() && bytes.size() < aBytes) {
    this->AppendWhole(bytes);
  }
  if (!this->turns.empty()) {
    this->AppendFragment(bytes);
  }
  while (!this->turns.empty() && bytes.size() < aBytes) {
    this->AppendFragment(bytes);
  }
  return bytes;
}

void
FrameScheduler::AppendWhole(std::string& aTo)
{
  PeerMessage message = std::move(this->whole.front());
  this->whole.pop_front();
  this->Remove(message);
  this->queuedBytes -= message.payload.size();
  Envelope envelope = this->MakeEnvelope(message);
  envelope.payload = std::move(message.payload);
  AppendFrame(aTo, envelope);
}

// Removes from the counts what they have besides the payload.
void
FrameScheduler::Remove(const PeerMessage& aMessage)
{
  const std::size_t bytes = BytesOf(aMessage);
  this->queuedBytes -= bytes - aMessage.payload.size();
  if (aMessage.payload.size() > kFragmentBytes) {
    this->large.erase(this->large.find(bytes));
  }
}

void
FrameScheduler::AppendFragment(std::string& aTo)
{
  const StreamId stream = this->turns.front();
  this->turns.pop_front();
  Blocked& sending = this->blocked.at(stream);
  const PeerMessage& message = sending.messages.front();
  Envelope envelope = this->MakeEnvelope(message);
  envelope.message = sending.number;
  envelope.totalBytes = message.payload.size();
  envelope.payload = message.payload.substr(sending.offset, kFragmentBytes);
  AppendFrame(aTo, envelope);
  sending.offset += envelope.payload.size();
  this->queuedBytes -= envelope.payload.size();
  if (sending.offset < message.payload.size()) {
    this->turns.push_back(stream);
  } else {
    this->FinishLarge(stream);
  }
}

// Lets the messages that waited for a large one go, up to the next large one.
void
FrameScheduler::FinishLarge(const StreamId& aStream)
{
  Blocked& sending = this->blocked.at(aStream);
  std::deque<PeerMessage>& messages = sending.messages;
  this->Remove(messages.front());
  messages.pop_front();
  while (!messages.empty() && !this->IsLarge(messages.front())) {
    this->whole.push_back(std::move(messages.front()));
    messages.pop_front();
  }
  if (messages.empty()) {
    this->blocked.erase(aStream);
    return;
  }
  this->Begin(sending);
  this->turns.push_back(aStream);
}

Result<std::optional<Envelope>>
FragmentAssembler::Add(Envelope aEnvelope)
{
  if (aEnvelope.message == 0) {
    return std::optional(std::move(aEnvelope));
  }
  const std::uint64_t number = aEnvelope.message;
  const auto found = this->incomplete.find(number);
  const std::size_t before = found == this->incomplete.end() ? 0 : found->second.payload.size();
  const std::size_t total =
    found == this->incomplete.end() ? aEnvelope.totalBytes : found->second.totalBytes;
  const bool fits = !aEnvelope.payload.empty() && aEnvelope.totalBytes == total &&
                    total <= kMaxFrameBytes && aEnvelope.payload.size() <= total - before;
  if (!fits) {
    return Fail(ErrorKind::Corrupt,
                "a fragment from a peer does not continue its message",
                "check that only hosts of this system can reach the peer address");
  }
  if (found == this->incomplete.end()) {
    this->bytes += total;
    this->incomplete.emplace(number, std::move(aEnvelope));
  } else {
    found->second.payload.append(aEnvelope.payload);
  }
  Envelope& message = this->incomplete.at(number);
  if (message.payload.size() < total) {
    return std::optional<Envelope>();
  }
  this->bytes -= total;
  std::optional<Envelope> complete(std::move(message));
  this->incomplete.erase(number);
  return complete;
}

void
FragmentAssembler::Clear()
{
  this->incomplete.clear();
  this->bytes = 0;
}

} // namespace damasklink
