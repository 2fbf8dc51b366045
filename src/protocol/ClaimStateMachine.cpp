#include "damasklink/protocol/ClaimStateMachine.h"

#include <algorithm>
#include <limits>

#include <Claims_generated.h>

namespace damasklink {
namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

constexpr std::uint16_t kWireVersion = 1;
// Limit of the verifier. A snapshot has up to two million entries with about six tables each.
constexpr flatbuffers::uoffset_t kMaxTables = 100'000'000;
constexpr flatbuffers::uoffset_t kMaxDepth = 8;

Error
Corrupt(std::string aWhat)
{
  return Error{ ErrorKind::Corrupt,
                std::move(aWhat) + " is malformed",
                "run the same or adjacent versions on all hosts" };
}

const std::uint8_t*
BytesOf(std::string_view aText)
{
  return reinterpret_cast<const std::uint8_t*>(aText.data());
}

std::string
Finished(const FlatBufferBuilder& aBuilder)
{
  return std::string(reinterpret_cast<const char*>(aBuilder.GetBufferPointer()),
                     aBuilder.GetSize());
}

template<typename Table>
const Table*
Verified(std::string_view aBytes)
{
  flatbuffers::Verifier verifier(BytesOf(aBytes), aBytes.size(), kMaxDepth, kMaxTables);
  if (!verifier.VerifyBuffer<Table>(nullptr)) {
    return nullptr;
  }
  return flatbuffers::GetRoot<Table>(aBytes.data());
}

std::int64_t
Nanoseconds(WallTime aTime)
{
  return std::chrono::duration_cast<Duration>(aTime.time_since_epoch()).count();
}

WallTime
TimeOf(std::int64_t aNanoseconds)
{
  return WallTime(std::chrono::duration_cast<WallTime::duration>(Duration(aNanoseconds)));
}

Offset<wire::KeptAnswer>
PackAnswer(FlatBufferBuilder& aBuilder, const KeptAnswer& aAnswer)
{
  const auto type = aBuilder.CreateString(aAnswer.contentType);
  const auto body = aBuilder.CreateVector(BytesOf(aAnswer.body), aAnswer.body.size());
  return wire::CreateKeptAnswer(aBuilder, aAnswer.status, type, body);
}

Offset<wire::KeptAnswer>
PackAnswer(FlatBufferBuilder& aBuilder, const std::optional<KeptAnswer>& aAnswer)
{
  return aAnswer ? PackAnswer(aBuilder, *aAnswer) : Offset<wire::KeptAnswer>();
}

std::optional<KeptAnswer>
UnpackAnswer(const wire::KeptAnswer* aAnswer)
{
  if (aAnswer == nullptr) {
    return std::nullopt;
  }
  KeptAnswer answer;
  answer.status = aAnswer->status();
  if (aAnswer->content_type() != nullptr) {
    answer.contentType = aAnswer->content_type()->str();
  }
  if (aAnswer->body() != nullptr) {
    answer.body.assign(reinterpret_cast<const char*>(aAnswer->body()->data()),
                       aAnswer->body()->size());
  }
  return answer;
}

// Returns false if the sizes differ.
template<std::size_t kSize>
bool
UnpackBytes(const flatbuffers::Vector<std::uint8_t>& aFrom, std::array<std::uint8_t, kSize>& aTo)
{
  if (aFrom.size() != kSize) {
    return false;
  }
  std::copy(aFrom.begin(), aFrom.end(), aTo.begin());
  return true;
}

Offset<wire::ClaimEntry>
PackEntry(FlatBufferBuilder& aBuilder, const ClaimName& aName, const ClaimEntry& aEntry)
{
  Offset<wire::KeptAnswer> answer;
  std::uint64_t storedAt = 0;
  if (aEntry.answer != nullptr) {
    answer = PackAnswer(aBuilder, aEntry.answer->answer);
    storedAt = aEntry.answer->storedAt.Value();
  }
  const auto name = aBuilder.CreateVector(aName.data(), aName.size());
  const auto body = aBuilder.CreateVector(aEntry.body.data(), aEntry.body.size());
  const auto attempt = aBuilder.CreateVector(aEntry.attempt.data(), aEntry.attempt.size());
  return wire::CreateClaimEntry(aBuilder,
                                name,
                                body,
                                attempt,
                                Nanoseconds(aEntry.expiry),
                                Nanoseconds(aEntry.leaseEnd),
                                Nanoseconds(aEntry.createdAt),
                                static_cast<std::uint8_t>(aEntry.state),
                                aEntry.bodyKnown,
                                storedAt,
                                answer);
}

// Returns false if the entry is malformed.
bool
UnpackEntry(const wire::ClaimEntry& aFrom, ClaimName& aName, ClaimEntry& aTo)
{
  const bool complete = UnpackBytes(*aFrom.name(), aName) && UnpackBytes(*aFrom.body(), aTo.body) &&
                        UnpackBytes(*aFrom.attempt(), aTo.attempt);
  aTo.expiry = TimeOf(aFrom.expiry());
  aTo.leaseEnd = TimeOf(aFrom.lease_end());
  aTo.createdAt = TimeOf(aFrom.birth());
  aTo.state = static_cast<ClaimState>(aFrom.state());
  aTo.bodyKnown = aFrom.body_known();
  if (auto answer = UnpackAnswer(aFrom.answer())) {
    aTo.answer =
      std::make_unique<StoredAnswer>(StoredAnswer{ LogIndex(aFrom.stored_at()), *answer });
  }
  return complete && aTo.state >= ClaimState::Running && aTo.state <= ClaimState::Released;
}

ClaimRegistry::Header
UnpackHeader(const wire::ClaimSnapshot& aFrom)
{
  ClaimRegistry::Header header;
  header.incarnation = Incarnation(aFrom.incarnation());
  header.latestRemovedCreation = TimeOf(aFrom.forgotten_birth());
  if (aFrom.has_reformed()) {
    header.reformedAt = TimeOf(aFrom.reformed_at());
  }
  return header;
}

} // namespace

std::string
EncodeClaimCommand(const ClaimCommand& aCommand)
{
  FlatBufferBuilder builder;
  const auto workspace = builder.CreateString(aCommand.workspace.Value());
  const auto key = builder.CreateString(aCommand.key.Value());
  const auto attempt = builder.CreateString(aCommand.attempt.Value());
  const auto body = builder.CreateString(aCommand.body.Value());
  const auto answer = PackAnswer(builder, aCommand.answer);
  builder.Finish(wire::CreateClaimCommand(builder,
                                          kWireVersion,
                                          static_cast<std::uint8_t>(aCommand.verb),
                                          workspace,
                                          key,
                                          attempt,
                                          body,
                                          aCommand.createdAt.has_value(),
                                          Nanoseconds(aCommand.createdAt.value_or(WallTime())),
                                          aCommand.retention.count(),
                                          aCommand.lease.count(),
                                          answer));
  return Finished(builder);
}

Result<ClaimCommand>
DecodeClaimCommand(std::string_view aBytes)
{
  const auto* packed = Verified<wire::ClaimCommand>(aBytes);
  if (packed == nullptr || packed->version() != kWireVersion) {
    return Fail(Corrupt("a claim command"));
  }
  ClaimCommand command;
  command.verb = static_cast<ClaimVerb>(packed->verb());
  if (command.verb < ClaimVerb::Claim || command.verb > ClaimVerb::Release) {
    return Fail(Corrupt("a claim command"));
  }
  command.workspace = WorkspaceId(packed->workspace()->str());
  command.key = IdempotencyKey(packed->key()->str());
  command.attempt = AttemptId(packed->attempt()->str());
  command.body = Digest(packed->body()->str());
  if (packed->has_birth()) {
    command.createdAt = TimeOf(packed->birth());
  }
  command.retention = Duration(packed->retention());
  command.lease = Duration(packed->lease());
  command.answer = UnpackAnswer(packed->answer());
  return command;
}

std::string
EncodeClaimReply(const ClaimReply& aReply)
{
  FlatBufferBuilder builder;
  const auto answer = PackAnswer(builder, aReply.answer);
  const auto verdict = static_cast<std::uint8_t>(aReply.verdict);
  builder.Finish(wire::CreateClaimReply(builder, verdict, aReply.retryAfter.count(), answer));
  return Finished(builder);
}

Result<ClaimReply>
DecodeClaimReply(std::string_view aBytes)
{
  const auto* packed = Verified<wire::ClaimReply>(aBytes);
  if (packed == nullptr) {
    return Fail(Corrupt("a claim's answer"));
  }
  ClaimReply reply;
  reply.verdict = static_cast<ClaimVerdict>(packed->verdict());
  if (reply.verdict < ClaimVerdict::Granted || reply.verdict > ClaimVerdict::NotReady) {
    return Fail(Corrupt("a claim's answer"));
  }
  reply.retryAfter = Duration(packed->come_back());
  reply.answer = UnpackAnswer(packed->answer());
  return reply;
}

std::string
ClaimStateMachine::Apply(const ApplyContext& aContext, std::string_view aCommand)
{
  auto command = DecodeClaimCommand(aCommand);
  if (!command) {
    return EncodeClaimReply(ClaimReply());
  }
  return EncodeClaimReply(this->claims.Apply(aContext, command.value()));
}

std::string
ClaimStateMachine::Save() const
{
  FlatBufferBuilder builder;
  std::vector<Offset<wire::ClaimEntry>> entries;
  entries.reserve(this->claims.Size());
  this->claims.Visit([&](const ClaimName& aName, const ClaimEntry& aEntry) {
    entries.push_back(PackEntry(builder, aName, aEntry));
  });
  const ClaimRegistry::Header& head = this->claims.GetHeader();
  const auto packed = builder.CreateVector(entries);
  builder.Finish(wire::CreateClaimSnapshot(builder,
                                           kWireVersion,
                                           head.incarnation.Value(),
                                           head.reformedAt.has_value(),
                                           Nanoseconds(head.reformedAt.value_or(WallTime())),
                                           Nanoseconds(head.latestRemovedCreation),
                                           packed));
  return Finished(builder);
}

Result<void>
ClaimStateMachine::Load(std::string_view aSnapshot)
{
  const auto* packed = Verified<wire::ClaimSnapshot>(aSnapshot);
  if (packed == nullptr || packed->version() != kWireVersion || packed->entries() == nullptr) {
    return Fail(Corrupt("a snapshot of claims"));
  }
  ClaimRegistry fresh;
  fresh.SetHeader(UnpackHeader(*packed));
  for (const wire::ClaimEntry* entry : *packed->entries()) {
    ClaimName name{};
    ClaimEntry unpacked;
    if (!UnpackEntry(*entry, name, unpacked)) {
      return Fail(Corrupt("an entry in a snapshot of claims"));
    }
    fresh.Restore(name, std::move(unpacked));
  }
  this->claims = std::move(fresh);
  return Success();
}

} // namespace damasklink
