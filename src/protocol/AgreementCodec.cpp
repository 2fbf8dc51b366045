#include "damasklink/protocol/AgreementCodec.h"

#include "damasklink/state/LogCodec.h"
#include <Agreement_generated.h>

namespace damasklink {
namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;
using Bytes = flatbuffers::Vector<std::uint8_t>;

auto
CorruptMessage()
{
  return Fail(ErrorKind::Corrupt,
              "a message of a replicated group is malformed",
              "check that only hosts of this system can reach the peer address");
}

Offset<Bytes>
PackBytes(FlatBufferBuilder& aBuilder, std::string_view aBytes)
{
  return aBuilder.CreateVector(reinterpret_cast<const std::uint8_t*>(aBytes.data()), aBytes.size());
}

std::string
UnpackBytes(const Bytes* aBytes)
{
  return std::string(reinterpret_cast<const char*>(aBytes->data()), aBytes->size());
}

wire::ProposalId
PackId(const ProposalId& aId)
{
  return wire::ProposalId(aId.proposer, aId.sequence.Value(), aId.floor.Value());
}

ProposalId
UnpackId(const wire::ProposalId& aId)
{
  return ProposalId{ aId.proposer(), Sequence(aId.sequence()), Sequence(aId.floor()) };
}

// ---- Packing, one overload for each type of body ----

auto
Pack(FlatBufferBuilder& aBuilder, const PreVoteRequest& aBody)
{
  return wire::CreatePreVoteRequest(
    aBuilder, aBody.candidateTerm.Value(), aBody.lastIndex.Value(), aBody.lastTerm.Value());
}

auto
Pack(FlatBufferBuilder& aBuilder, const PreVoteAnswer& aBody)
{
  return wire::CreatePreVoteAnswer(
    aBuilder, aBody.candidateTerm.Value(), aBody.granted, aBody.leaderless);
}

auto
Pack(FlatBufferBuilder& aBuilder, const VoteRequest& aBody)
{
  return wire::CreateVoteRequest(
    aBuilder, aBody.lastIndex.Value(), aBody.lastTerm.Value(), aBody.handover, aBody.allLeaderless);
}

auto
Pack(FlatBufferBuilder& aBuilder, const VoteAnswer& aBody)
{
  return wire::CreateVoteAnswer(aBuilder, aBody.granted);
}

auto
Pack(FlatBufferBuilder& aBuilder, const AppendRequest& aBody)
{
  std::vector<Offset<wire::EntryBytes>> entries;
  entries.reserve(aBody.entries.size());
  for (const LogEntry& entry : aBody.entries) {
    entries.push_back(wire::CreateEntryBytes(aBuilder, PackBytes(aBuilder, EncodeEntry(entry))));
  }
  const auto packed = entries.empty() ? 0 : aBuilder.CreateVector(entries);
  return wire::CreateAppendRequest(aBuilder,
                                   aBody.previousIndex.Value(),
                                   aBody.previousTerm.Value(),
                                   aBody.committed.Value(),
                                   aBody.sentAt,
                                   packed);
}

auto
Pack(FlatBufferBuilder& aBuilder, const AppendAnswer& aBody)
{
  return wire::CreateAppendAnswer(
    aBuilder, aBody.accepted, aBody.index.Value(), aBody.previousIndex.Value(), aBody.sentAt);
}

auto
Pack(FlatBufferBuilder& aBuilder, const SnapshotPiece& aBody)
{
  return wire::CreateSnapshotPiece(aBuilder,
                                   aBody.index.Value(),
                                   aBody.snapshotTerm.Value(),
                                   aBody.offset,
                                   aBody.totalBytes,
                                   aBody.sentAt,
                                   PackBytes(aBuilder, aBody.bytes));
}

auto
Pack(FlatBufferBuilder& aBuilder, const SnapshotAnswer& aBody)
{
  return wire::CreateSnapshotAnswer(aBuilder, aBody.index.Value(), aBody.nextOffset, aBody.sentAt);
}

auto
Pack(FlatBufferBuilder& aBuilder, const TimeoutNow& /*aBody*/)
{
  return wire::CreateTimeoutNow(aBuilder);
}

auto
Pack(FlatBufferBuilder& aBuilder, const FormationQuery& aBody)
{
  return wire::CreateFormationQuery(aBuilder, aBody.nonce, aBody.proposed.Value());
}

auto
Pack(FlatBufferBuilder& aBuilder, const FormationAnswer& aBody)
{
  return wire::CreateFormationAnswer(aBuilder, aBody.nonce, aBody.formed.Value());
}

auto
Pack(FlatBufferBuilder& aBuilder, const JoinRequest& /*aBody*/)
{
  return wire::CreateJoinRequest(aBuilder);
}

auto
Pack(FlatBufferBuilder& aBuilder, const ForwardedProposal& aBody)
{
  const wire::ProposalId id = PackId(aBody.proposal);
  const auto command = PackBytes(aBuilder, aBody.command);
  return wire::CreateForwardedProposal(aBuilder, aBody.attempt.Value(), aBody.part, &id, command);
}

auto
Pack(FlatBufferBuilder& aBuilder, const ProposalAnswer& aBody)
{
  const wire::ProposalId id = PackId(aBody.proposal);
  return wire::CreateProposalAnswer(aBuilder, &id, PackBytes(aBuilder, aBody.answer));
}

auto
Pack(FlatBufferBuilder& aBuilder, const ProposalRefusal& aBody)
{
  const wire::ProposalId id = PackId(aBody.proposal);
  const auto leader = aBuilder.CreateString(aBody.leader.Value());
  return wire::CreateProposalRefusal(aBuilder, &id, aBody.attempt.Value(), leader);
}

// ---- Unpacking, one overload for each type of body that has fields ----

AgreementBody
Unpack(const wire::PreVoteRequest& aBody)
{
  return PreVoteRequest{ Term(aBody.candidate_term()),
                         LogIndex(aBody.last_index()),
                         Term(aBody.last_term()) };
}

AgreementBody
Unpack(const wire::PreVoteAnswer& aBody)
{
  return PreVoteAnswer{ Term(aBody.candidate_term()), aBody.granted(), aBody.leaderless() };
}

AgreementBody
Unpack(const wire::VoteRequest& aBody)
{
  return VoteRequest{
    LogIndex(aBody.last_index()), Term(aBody.last_term()), aBody.handover(), aBody.all_leaderless()
  };
}

AgreementBody
Unpack(const wire::VoteAnswer& aBody)
{
  return VoteAnswer{ aBody.granted() };
}

Result<AgreementBody>
Unpack(const wire::AppendRequest& aBody)
{
  AppendRequest request;
  request.previousIndex = LogIndex(aBody.previous_index());
  request.previousTerm = Term(aBody.previous_term());
  request.committed = LogIndex(aBody.committed());
  request.sentAt = aBody.sent_at();
  LogIndex expected = request.previousIndex.Next();
  for (std::size_t position = 0; aBody.entries() && position < aBody.entries()->size();
       ++position) {
    const auto* packed = aBody.entries()->Get(static_cast<flatbuffers::uoffset_t>(position));
    auto entry = DecodeEntry(UnpackBytes(packed->bytes()));
    if (!entry) {
      return Fail(entry.error());
    }
    if (entry.value().index != expected) {
      return CorruptMessage();
    }
    expected = expected.Next();
    request.entries.push_back(std::move(entry.value()));
  }
  return AgreementBody(std::move(request));
}

AgreementBody
Unpack(const wire::AppendAnswer& aBody)
{
  return AppendAnswer{
    aBody.accepted(), LogIndex(aBody.index()), LogIndex(aBody.previous_index()), aBody.sent_at()
  };
}

AgreementBody
Unpack(const wire::SnapshotPiece& aBody)
{
  return SnapshotPiece{ LogIndex(aBody.index()), Term(aBody.snapshot_term()),
                        aBody.offset(),          aBody.total_bytes(),
                        aBody.sent_at(),         UnpackBytes(aBody.bytes()) };
}

AgreementBody
Unpack(const wire::SnapshotAnswer& aBody)
{
  return SnapshotAnswer{ LogIndex(aBody.index()), aBody.next_offset(), aBody.sent_at() };
}

AgreementBody
Unpack(const wire::FormationQuery& aBody)
{
  return FormationQuery{ aBody.nonce(), FormationId(aBody.proposed()) };
}

AgreementBody
Unpack(const wire::FormationAnswer& aBody)
{
  return FormationAnswer{ aBody.nonce(), FormationId(aBody.formed()) };
}

AgreementBody
Unpack(const wire::ForwardedProposal& aBody)
{
  return ForwardedProposal{ Sequence(aBody.attempt()),
                            aBody.part(),
                            UnpackId(*aBody.proposal()),
                            UnpackBytes(aBody.command()) };
}

AgreementBody
Unpack(const wire::ProposalAnswer& aBody)
{
  return ProposalAnswer{ UnpackId(*aBody.proposal()), UnpackBytes(aBody.answer()) };
}

AgreementBody
Unpack(const wire::ProposalRefusal& aBody)
{
  const std::string leader = aBody.leader() == nullptr ? "" : aBody.leader()->str();
  return ProposalRefusal{ UnpackId(*aBody.proposal()), Sequence(aBody.attempt()), HostId(leader) };
}

Result<AgreementBody>
UnpackBody(const wire::AgreementMessage& aMessage)
{
  switch (aMessage.body_type()) {
    case wire::AgreementBody::PreVoteRequest:
      return Unpack(*aMessage.body_as_PreVoteRequest());
    case wire::AgreementBody::PreVoteAnswer:
      return Unpack(*aMessage.body_as_PreVoteAnswer());
    case wire::AgreementBody::VoteRequest:
      return Unpack(*aMessage.body_as_VoteRequest());
    case wire::AgreementBody::VoteAnswer:
      return Unpack(*aMessage.body_as_VoteAnswer());
    case wire::AgreementBody::AppendRequest:
      return Unpack(*aMessage.body_as_AppendRequest());
    case wire::AgreementBody::AppendAnswer:
      return Unpack(*aMessage.body_as_AppendAnswer());
    case wire::AgreementBody::SnapshotPiece:
      return Unpack(*aMessage.body_as_SnapshotPiece());
    case wire::AgreementBody::SnapshotAnswer:
      return Unpack(*aMessage.body_as_SnapshotAnswer());
    case wire::AgreementBody::TimeoutNow:
      return AgreementBody(TimeoutNow{});
    case wire::AgreementBody::FormationQuery:
      return Unpack(*aMessage.body_as_FormationQuery());
    case wire::AgreementBody::FormationAnswer:
      return Unpack(*aMessage.body_as_FormationAnswer());
    case wire::AgreementBody::JoinRequest:
      return AgreementBody(JoinRequest{});
    case wire::AgreementBody::ForwardedProposal:
      return Unpack(*aMessage.body_as_ForwardedProposal());
    case wire::AgreementBody::ProposalAnswer:
      return Unpack(*aMessage.body_as_ProposalAnswer());
    case wire::AgreementBody::ProposalRefusal:
      return Unpack(*aMessage.body_as_ProposalRefusal());
    case wire::AgreementBody::NONE:
      break;
  }
  return CorruptMessage();
}

} // namespace

std::string
EncodeAgreementMessage(const AgreementMessage& aMessage)
{
  FlatBufferBuilder builder;
  const Offset<void> body =
    std::visit([&](const auto& aBody) { return Pack(builder, aBody).Union(); }, aMessage.body);
  // The members of the union follow NONE in the order of the variant.
  const auto type = static_cast<wire::AgreementBody>(aMessage.body.index() + 1);
  const auto packed = wire::CreateAgreementMessage(builder,
                                                   aMessage.formation.Value(),
                                                   aMessage.from.Value(),
                                                   aMessage.to.Value(),
                                                   aMessage.term.Value(),
                                                   type,
                                                   body);
  wire::FinishAgreementMessageBuffer(builder, packed);
  return std::string(reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize());
}

Result<AgreementMessage>
DecodeAgreementMessage(std::string_view aBytes)
{
  const auto* bytes = reinterpret_cast<const std::uint8_t*>(aBytes.data());
  flatbuffers::Verifier verifier(bytes, aBytes.size());
  if (!wire::VerifyAgreementMessageBuffer(verifier)) {
    return CorruptMessage();
  }
  const wire::AgreementMessage* packed = wire::GetAgreementMessage(bytes);
  auto body = UnpackBody(*packed);
  if (!body) {
    return Fail(body.error());
  }
  AgreementMessage message;
  message.formation = FormationId(packed->formation());
  message.from = ReplicaId(packed->from());
  message.to = ReplicaId(packed->to());
  message.term = Term(packed->term());
  message.body = std::move(body.value());
  return message;
}

} // namespace damasklink
