#include "damasklink/protocol/TargetsCodec.h"

#include <algorithm>
#include <limits>

#include <Targets_generated.h>

#include "FlatBytes.h"
#include "damasklink/protocol/EngineApi.h"

namespace damasklink {
namespace {

// Counts above what the wire holds say "very many" as well.
template<typename T>
T
Narrow(std::uint64_t aCount)
{
  constexpr std::uint64_t kMost = std::numeric_limits<T>::max();
  return static_cast<T>(std::min(aCount, kMost));
}

wire::Sign
WireSign(const TargetKeepalive& aSign)
{
  return wire::Sign(Narrow<std::uint32_t>(aSign.load.queuedPrefill.Value()),
                    aSign.target,
                    aSign.fingerprint,
                    static_cast<std::uint32_t>(aSign.sequence.Value()),
                    Narrow<std::uint16_t>(aSign.load.runningRequests),
                    Narrow<std::uint16_t>(aSign.load.queuedRequests),
                    Narrow<std::uint16_t>(aSign.load.slots));
}

TargetKeepalive
ReadSign(const wire::Sign& aSign)
{
  TargetKeepalive sign;
  sign.target = aSign.target();
  sign.fingerprint = aSign.fingerprint();
  sign.sequence = Sequence(aSign.sequence());
  sign.load.runningRequests = aSign.running();
  sign.load.queuedRequests = aSign.queued();
  sign.load.queuedPrefill = TokenCount(aSign.queued_prefill());
  sign.load.slots = aSign.slots();
  return sign;
}

} // namespace

std::string
EncodeTargetsMessage(const TargetsMessage& aMessage)
{
  flatbuffers::FlatBufferBuilder builder;
  std::vector<wire::Sign> signs;
  for (const TargetKeepalive& sign : aMessage.keepalives) {
    signs.push_back(WireSign(sign));
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
      message.keepalives.push_back(ReadSign(*sign));
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
