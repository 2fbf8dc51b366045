#include "damasklink/protocol/AgreementCodec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace damasklink {
namespace {

LogEntry
MakeEntry(std::uint64_t aIndex)
{
  LogEntry entry;
  entry.index = LogIndex(aIndex);
  entry.kind = EntryKind::Membership;
  entry.command = std::string("with\0zero", 9);
  entry.membership.members = { Member{ HostId("host"), ReplicaId(3), true } };
  return entry;
}

// One message of each kind, with every field set.
std::vector<AgreementBody>
AllBodies()
{
  const ProposalId id{ 1, Sequence(2), Sequence(3) };
  return {
    PreVoteRequest{ Term(1), LogIndex(2), Term(3) },
    PreVoteAnswer{ Term(1), true, true },
    VoteRequest{ LogIndex(1), Term(2), true, true },
    VoteAnswer{ true },
    AppendRequest{ LogIndex(1), Term(2), LogIndex(3), 4, { MakeEntry(2), MakeEntry(3) } },
    AppendAnswer{ true, LogIndex(1), LogIndex(2), 3 },
    SnapshotPiece{ LogIndex(1), Term(2), 3, 4, 5, "bytes" },
    SnapshotAnswer{ LogIndex(1), 2, 3 },
    TimeoutNow{},
    FormationQuery{ 1, FormationId(2) },
    FormationAnswer{ 1, FormationId(2) },
    JoinRequest{},
    ForwardedProposal{ Sequence(1), 4, id, "command" },
    ProposalAnswer{ id, "answer" },
    ProposalRefusal{ id, Sequence(4), HostId("leader") },
  };
}

AgreementMessage
MakeMessage(AgreementBody aBody)
{
  AgreementMessage message;
  message.formation = FormationId(1);
  message.from = ReplicaId(2);
  message.to = ReplicaId(3);
  message.term = Term(4);
  message.body = std::move(aBody);
  return message;
}

TEST(AgreementCodecTest, RoundTripsEveryKind)
{
  ASSERT_EQ(AllBodies().size(), std::variant_size_v<AgreementBody>);
  for (const AgreementBody& body : AllBodies()) {
    const AgreementMessage message = MakeMessage(body);
    auto decoded = DecodeAgreementMessage(EncodeAgreementMessage(message));
    ASSERT_TRUE(decoded) << decoded.error();
    EXPECT_EQ(decoded.value(), message);
  }
}

TEST(AgreementCodecTest, RejectsEntriesWithAGap)
{
  AppendRequest request;
  request.entries = { MakeEntry(1), MakeEntry(3) };
  auto decoded = DecodeAgreementMessage(EncodeAgreementMessage(MakeMessage(request)));
  ASSERT_FALSE(decoded);
  EXPECT_EQ(decoded.error().kind, ErrorKind::Corrupt);
}

// Truncated bytes are rejected. A changed byte is rejected or gives another message, but never
// crashes the process.
RC_GTEST_PROP(AgreementCodecProperty, DamagedBytesNeverCrash, ())
{
  const auto body = *rc::gen::elementOf(AllBodies());
  std::string bytes = EncodeAgreementMessage(MakeMessage(body));
  const auto position = *rc::gen::inRange<std::size_t>(0, bytes.size());
  if (*rc::gen::arbitrary<bool>()) {
    bytes.resize(position);
    RC_ASSERT(!DecodeAgreementMessage(bytes).has_value());
  } else {
    bytes[position] = static_cast<char>(*rc::gen::arbitrary<char>());
    RC_CLASSIFY(DecodeAgreementMessage(bytes).has_value());
  }
}

} // namespace
} // namespace damasklink
