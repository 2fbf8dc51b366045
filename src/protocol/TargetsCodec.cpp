#include "damasklink/protocol/TargetsCodec.h"

#include <algorithm>
#include <limits>

#include <Targets_generated.h>

#include "FlatBytes.h"
#include "damasklink/protocol/EngineApi.h"

namespace damasklink {
namespace {

// Clamps a count to the maximum of a narrower wire field. Larger values need no distinction: the
// maximum already means a very high load.
template<typename T>
T
Narrow(std::uint64_t aCount)
{
  constexpr std::uint64_t kMax = std::numeric_limits<T>::max();
  return static_cast<T>(std::min(aCount, kMax));
}

wire::Sign
ToWire(const TargetKeepalive& aKeepalive)
{
  return wire::Sign(Narrow<std::uint32_t>(aKeepalive.load.queuedPrefill.Value()),
                    aKeepalive.target,
                    aKeepalive.fingerprint,
                    static_cast<std::uint32_t>(aKeepalive.sequence.Value()),
                    Narrow<std::uint16_t>(aKeepalive.load.runningRequests),
                    Narrow<std::uint16_t>(aKeepalive.load.queuedRequests),
                    Narrow<std::uint16_t>(aKeepalive.load.slots));
}

TargetKeepalive
FromWire(const wire::Sign& aSign)
{
  TargetKeepalive keepalive;
  keepalive.target = aSign.target();
  keepalive.fingerprint = aSign.fingerprint();
  keepalive.sequence = Sequence(aSign.sequence());
  keepalive.load.runningRequests = aSign.running();
  keepalive.load.queuedRequests = aSign.queued();
  keepalive.load.queuedPrefill = TokenCount(aSign.queued_prefill());
  keepalive.load.slots = aSign.slots();
  return keepalive;
}

} // namespace

std::string
EncodeTargetsMessage(const TargetsMessage& aMessage)
{
  flatbuffers::FlatBufferBuilder builder;
  std::vector<wire::Sign> signs;
  for (const TargetKeepalive& keepalive : aMessage.keepalives) {
    signs.push_back(ToWire(keepalive));
  }
  std::vector<std::string> records;
  for (const TargetRecord& record : aMessage.records) {
    records.push_back(FormatTargetRecord(record));
  }
  const auto signsAt = builder.CreateVectorOfStructs(signs);
  const auto recordsAt = builder.CreateVectorOfStrings(records);
  builder.Finish(wire::CreateTargetsFrame(
    builder, static_cast<std::uint8_t>(aMessage.kind), signsAt, recordsAt));
  return internal::FinishedBytes(builder);
}

Result<TargetsMessage>
DecodeTargetsMessage(std::string_view aBytes)
{
  const auto* frame = internal::VerifiedRoot<wire::TargetsFrame>(aBytes);
  const bool known = frame != nullptr &&
                     frame->kind() >= static_cast<std::uint8_t>(TargetsMessageKind::Records) &&
                     frame->kind() <= static_cast<std::uint8_t>(TargetsMessageKind::Ask);
  if (!known) {
    return Fail(internal::UnreadableMessage());
  }
  TargetsMessage message;
  message.kind = static_cast<TargetsMessageKind>(frame->kind());
  if (frame->signs() != nullptr) {
    for (const wire::Sign* sign : *frame->signs()) {
      message.keepalives.push_back(FromWire(*sign));
    }
  }
  if (frame->records() != nullptr) {
    for (const flatbuffers::String* text : *frame->records()) {
      auto record = ParseTargetRecord(text->str());
      if (!record) {
        return Fail(record.error());
      }
      message.records.push_back(std::move(record.value()));
    }
  }
  return message;
}

} // namespace damasklink
