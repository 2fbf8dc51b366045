#include "damasklink/protocol/ConfigCodec.h"

#include <Configuration_generated.h>
#include <Membership_generated.h>

#include "FlatBytes.h"

namespace damasklink {
namespace {

std::uint64_t
MicrosOf(WallTime aTime)
{
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::microseconds>(aTime.time_since_epoch()).count());
}

} // namespace

std::string
EncodeConfigMessage(const ConfigMessage& aMessage)
{
  constexpr std::size_t kOverhead = 128;
  flatbuffers::FlatBufferBuilder builder(aMessage.body.size() + kOverhead);
  flatbuffers::Offset<flatbuffers::String> origin;
  if (!aMessage.origin.Empty()) {
    origin = builder.CreateString(aMessage.origin.Value());
  }
  flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>> body;
  if (!aMessage.body.empty()) {
    const auto* bytes = reinterpret_cast<const std::uint8_t*>(aMessage.body.data());
    body = builder.CreateVector(bytes, aMessage.body.size());
  }
  builder.Finish(wire::CreateConfigFrame(builder,
                                         static_cast<std::uint8_t>(aMessage.kind),
                                         aMessage.revision.Value(),
                                         internal::ToWireMilliseconds(aMessage.confirmedAge),
                                         MicrosOf(aMessage.acceptedAt),
                                         origin,
                                         body));
  return internal::FinishedBytes(builder);
}

Result<ConfigMessage>
DecodeConfigMessage(std::string_view aBytes)
{
  const auto* frame = internal::VerifiedRoot<wire::ConfigFrame>(aBytes);
  const bool known = frame != nullptr &&
                     frame->kind() >= static_cast<std::uint8_t>(ConfigMessageKind::Delta) &&
                     frame->kind() <= static_cast<std::uint8_t>(ConfigMessageKind::RingCompleted);
  if (!known) {
    return Fail(internal::UnreadableMessage());
  }
  ConfigMessage message;
  message.kind = static_cast<ConfigMessageKind>(frame->kind());
  message.revision = Revision(frame->revision());
  message.confirmedAge = std::chrono::milliseconds(frame->confirmed_age_ms());
  message.acceptedAt = WallTime(std::chrono::microseconds(frame->accepted_at_us()));
  if (frame->origin() != nullptr) {
    message.origin = HostId(frame->origin()->str());
  }
  if (frame->body() != nullptr) {
    const auto* bytes = reinterpret_cast<const char*>(frame->body()->data());
    message.body.assign(bytes, frame->body()->size());
  }
  return message;
}

std::string
EncodeHeartbeat(const Heartbeat& aHeartbeat)
{
  flatbuffers::FlatBufferBuilder builder;
  std::vector<wire::Sighting> sightings;
  for (const HostSighting& other : aHeartbeat.others) {
    const auto sequence = static_cast<std::uint32_t>(other.sequence.Value());
    sightings.emplace_back(
      other.incarnation.Value(), other.host, (sequence << 1U) | (other.leaving ? 1U : 0U));
  }
  const auto others = builder.CreateVectorOfStructs(sightings);
  builder.Finish(wire::CreateHeartbeatFrame(builder,
                                            aHeartbeat.incarnation.Value(),
                                            aHeartbeat.revision.Value(),
                                            static_cast<std::uint32_t>(aHeartbeat.sequence.Value()),
                                            internal::ToWireMilliseconds(aHeartbeat.confirmedAge),
                                            aHeartbeat.leaving,
                                            others));
  return internal::FinishedBytes(builder);
}

Result<Heartbeat>
DecodeHeartbeat(std::string_view aBytes)
{
  const auto* frame = internal::VerifiedRoot<wire::HeartbeatFrame>(aBytes);
  if (frame == nullptr) {
    return Fail(internal::UnreadableMessage());
  }
  Heartbeat heartbeat;
  heartbeat.incarnation = Incarnation(frame->incarnation());
  heartbeat.revision = Revision(frame->revision());
  heartbeat.sequence = Sequence(frame->sequence());
  heartbeat.confirmedAge = std::chrono::milliseconds(frame->confirmed_age_ms());
  heartbeat.leaving = frame->leaving();
  if (frame->others() == nullptr) {
    return heartbeat;
  }
  for (const wire::Sighting* other : *frame->others()) {
    heartbeat.others.push_back(HostSighting{ other->host(),
                                             Incarnation(other->incarnation()),
                                             Sequence(other->sequence_and_leaving() >> 1U),
                                             (other->sequence_and_leaving() & 1U) != 0 });
  }
  return heartbeat;
}

} // namespace damasklink
