#include "damasklink/coordination/ProposalTable.h"

#include <algorithm>

#include "damasklink/state/Bytes.h"
#include "damasklink/state/LogCodec.h"

namespace damasklink {
namespace {

// A proposer that has been silent for this long has ended; no proposal lives as long.
constexpr Duration kProposerLife = std::chrono::hours(1);

} // namespace

ProposalTable::Standing
ProposalTable::Note(const ProposalId& aProposal, WallTime aProposedAt)
{
  std::erase_if(this->proposers, [&](const auto& aItem) {
    return aItem.first != aProposal.proposer && aItem.second.lastAt + kProposerLife < aProposedAt;
  });
  Proposer& proposer = this->proposers[aProposal.proposer];
  proposer.lastAt = std::max(proposer.lastAt, aProposedAt);
  proposer.floor = std::max(proposer.floor, aProposal.floor);
  proposer.answers.erase(proposer.answers.begin(), proposer.answers.lower_bound(proposer.floor));
  if (aProposal.sequence < proposer.floor) {
    return Standing::Expired;
  }
  return proposer.answers.contains(aProposal.sequence) ? Standing::Applied : Standing::Fresh;
}

void
ProposalTable::Keep(const ProposalId& aProposal, std::string aAnswer)
{
  this->proposers[aProposal.proposer].answers[aProposal.sequence] = std::move(aAnswer);
}

std::optional<std::string>
ProposalTable::Find(const ProposalId& aProposal) const
{
  const auto proposer = this->proposers.find(aProposal.proposer);
  if (proposer == this->proposers.end()) {
    return std::nullopt;
  }
  const auto answer = proposer->second.answers.find(aProposal.sequence);
  if (answer == proposer->second.answers.end()) {
    return std::nullopt;
  }
  return answer->second;
}

std::string
ProposalTable::Save() const
{
  ByteWriter writer;
  writer.Number(this->proposers.size());
  for (const auto& [id, proposer] : this->proposers) {
    writer.Number(id);
    writer.Number(proposer.floor.Value());
    writer.Number(EncodeWallTime(proposer.lastAt));
    writer.Number(proposer.answers.size());
    for (const auto& [sequence, answer] : proposer.answers) {
      writer.Number(sequence.Value());
      writer.Text(answer);
    }
  }
  return writer.Take();
}

Result<void>
ProposalTable::Load(std::string_view aBytes)
{
  std::map<std::uint64_t, Proposer> loaded;
  ByteReader reader(aBytes);
  const std::uint64_t count = reader.Number();
  for (std::uint64_t index = 0; index < count && reader.Ok(); ++index) {
    Proposer& proposer = loaded[reader.Number()];
    proposer.floor = Sequence(reader.Number());
    proposer.lastAt = DecodeWallTime(reader.Number());
    const std::uint64_t answers = reader.Number();
    for (std::uint64_t kept = 0; kept < answers && reader.Ok(); ++kept) {
      const Sequence sequence(reader.Number());
      proposer.answers[sequence] = reader.Text();
    }
  }
  if (!reader.Finished()) {
    return Fail(ErrorKind::Corrupt,
                "the answers kept in a snapshot cannot be read",
                "replace this host's data folder by an empty one; see docs/STATE.md");
  }
  this->proposers = std::move(loaded);
  return Success();
}

} // namespace damasklink
