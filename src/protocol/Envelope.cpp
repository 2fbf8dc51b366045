#include "damasklink/protocol/Envelope.h"

#include "damasklink/state/Text.h"
#include <Envelope_generated.h>

namespace damasklink {
namespace {

constexpr std::uint16_t kWireVersion = 1;

} // namespace

std::string
EncodeEnvelope(const Envelope& aEnvelope)
{
  flatbuffers::FlatBufferBuilder builder(aEnvelope.payload.size() + 256);
  const auto from = builder.CreateString(aEnvelope.from.Value());
  const auto group = builder.CreateString(aEnvelope.group.Value());
  const auto* bytes = reinterpret_cast<const std::uint8_t*>(aEnvelope.payload.data());
  const auto payload = builder.CreateVector(bytes, aEnvelope.payload.size());
  const auto envelope = wire::CreateEnvelope(builder,
                                             kWireVersion,
                                             from,
                                             aEnvelope.channel,
                                             group,
                                             payload,
                                             aEnvelope.takesFragments,
                                             aEnvelope.message,
                                             aEnvelope.totalBytes);
  wire::FinishEnvelopeBuffer(builder, envelope);
  return std::string(reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize());
}

Result<Envelope>
DecodeEnvelope(std::string_view aBytes)
{
  const auto* bytes = reinterpret_cast<const std::uint8_t*>(aBytes.data());
  flatbuffers::Verifier verifier(bytes, aBytes.size());
  if (!wire::VerifyEnvelopeBuffer(verifier)) {
    return Fail(ErrorKind::Corrupt,
                "a frame from a peer is malformed",
                "check that only hosts of this system can reach the peer address");
  }
  const wire::Envelope* envelope = wire::GetEnvelope(bytes);
  if (envelope->version() != kWireVersion) {
    return Fail(ErrorKind::InvalidArgument,
                Concat("a peer uses protocol version ", envelope->version()),
                "run the same or adjacent versions on all hosts");
  }
  Envelope decoded;
  decoded.from = HostId(envelope->from()->str());
  decoded.channel = envelope->channel();
  if (envelope->group() != nullptr) {
    decoded.group = GroupId(envelope->group()->str());
  }
  if (envelope->payload() != nullptr) {
    const auto* payload = reinterpret_cast<const char*>(envelope->payload()->data());
    decoded.payload.assign(payload, envelope->payload()->size());
  }
  decoded.takesFragments = envelope->takes_fragments();
  decoded.message = envelope->message();
  decoded.totalBytes = envelope->total_bytes();
  return decoded;
}

} // namespace damasklink
