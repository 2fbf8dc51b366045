#include "damasklink/coordination/ProposerSessions.h"

#include <algorithm>

#include "damasklink/state/Bytes.h"

namespace damasklink {
namespace {

constexpr std::size_t kMaxProposers = 4096;

} // namespace

ProposerSessions::ProposalState
ProposerSessions::Register(const ProposalId& aProposal, LogIndex aIndex)
{
  if (!this->proposers.contains(aProposal.proposer) && this->proposers.size() >= kMaxProposers) {
    this->EvictOldest();
  }
  Proposer& proposer = this->proposers[aProposal.proposer];
  proposer.lastIndex = aIndex;
  proposer.floor = std::max(proposer.floor, aProposal.floor);
  proposer.answers.erase(proposer.answers.begin(), proposer.answers.lower_bound(proposer.floor));
  if (aProposal.sequence < proposer.floor) {
    return ProposalState::Expired;
  }
  return proposer.answers.contains(aProposal.sequence) ? ProposalState::Applied
                                                       : ProposalState::New;
}

void
ProposerSessions::EvictOldest()
{
  const auto oldest =
    std::min_element(this->proposers.begin(), this->proposers.end(), [](auto& aOne, auto& aOther) {
      return aOne.second.lastIndex < aOther.second.lastIndex;
    });
  this->proposers.erase(oldest);
}

void
ProposerSessions::Keep(const ProposalId& aProposal, std::string aAnswer)
{
  this->proposers[aProposal.proposer].answers[aProposal.sequence] = std::move(aAnswer);
}

std::optional<std::string>
ProposerSessions::Find(const ProposalId& aProposal) const
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
ProposerSessions::Save() const
{
  ByteWriter writer;
  writer.Number(this->proposers.size());
  for (const auto& [id, proposer] : this->proposers) {
    writer.Number(id);
    writer.Number(proposer.floor.Value());
    writer.Number(proposer.lastIndex.Value());
    writer.Number(proposer.answers.size());
    for (const auto& [sequence, answer] : proposer.answers) {
      writer.Number(sequence.Value());
      writer.Text(answer);
    }
  }
  return writer.Take();
}

Result<void>
ProposerSessions::Load(std::string_view aBytes)
{
  std::map<std::uint64_t, Proposer> loaded;
  ByteReader reader(aBytes);
  const std::uint64_t count = reader.Number();
  for (std::uint64_t index = 0; index < count && reader.Ok(); ++index) {
    Proposer& proposer = loaded[reader.Number()];
    proposer.floor = Sequence(reader.Number());
    proposer.lastIndex = LogIndex(reader.Number());
    const std::uint64_t answers = reader.Number();
    for (std::uint64_t position = 0; position < answers && reader.Ok(); ++position) {
      const Sequence sequence(reader.Number());
      proposer.answers[sequence] = reader.Text();
    }
  }
  if (!reader.Finished()) {
    return Fail(ErrorKind::Corrupt,
                "the proposal answers in a snapshot cannot be decoded",
                "replace this host's data folder by an empty one; see docs/STATE.md");
  }
  this->proposers = std::move(loaded);
  return Success();
}

} // namespace damasklink
