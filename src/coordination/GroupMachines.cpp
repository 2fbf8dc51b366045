#include "damasklink/coordination/GroupMachines.h"

#include "damasklink/state/Bytes.h"

namespace damasklink {

void
GroupMachines::Add(MachinePart aPart, ReplicatedMachine& aMachine)
{
  this->machines[aPart] = &aMachine;
}

std::optional<AppliedProposal>
GroupMachines::Apply(const LogEntry& aEntry)
{
  if (aEntry.kind != EntryKind::Command) {
    return std::nullopt;
  }
  const auto standing = this->proposals.Note(aEntry.proposal, aEntry.index);
  if (standing == ProposalTable::Standing::Expired) {
    return AppliedProposal{ aEntry.proposal, std::nullopt };
  }
  if (standing == ProposalTable::Standing::Applied) {
    return AppliedProposal{ aEntry.proposal, this->proposals.Find(aEntry.proposal) };
  }
  std::string answer;
  const auto machine = this->machines.find(static_cast<MachinePart>(aEntry.part));
  if (machine != this->machines.end()) {
    ApplyContext context{ this->group, aEntry.index, aEntry.term, aEntry.proposedAt, {}, {} };
    context.incarnation =
      this->life == nullptr ? Incarnation(1) : this->life->Current().incarnation;
    context.foundedAt = this->life == nullptr ? WallTime() : this->life->Current().foundedAt;
    answer = machine->second->Apply(context, aEntry.command);
  }
  this->proposals.Keep(aEntry.proposal, answer);
  return AppliedProposal{ aEntry.proposal, std::move(answer) };
}

std::string
GroupMachines::Save() const
{
  std::map<MachinePart, std::string> states = this->unknown;
  for (const auto& [part, machine] : this->machines) {
    states[part] = machine->Save();
  }
  ByteWriter writer;
  writer.Text(this->proposals.Save());
  writer.Number(states.size());
  for (const auto& [part, state] : states) {
    writer.Byte(static_cast<std::uint8_t>(part));
    writer.Text(state);
  }
  return writer.Take();
}

Result<void>
GroupMachines::Load(std::string_view aBytes)
{
  ByteReader reader(aBytes);
  const std::string kept = reader.Text();
  const std::uint64_t count = reader.Number();
  std::map<MachinePart, std::string> states;
  for (std::uint64_t index = 0; index < count && reader.Ok(); ++index) {
    const auto part = static_cast<MachinePart>(reader.Byte());
    states[part] = reader.Text();
  }
  if (!reader.Finished()) {
    return Fail(ErrorKind::Corrupt,
                "the machines' part of a snapshot cannot be read",
                "replace this host's data folder by an empty one; see docs/STATE.md");
  }
  if (auto loaded = this->proposals.Load(kept); !loaded) {
    return loaded;
  }
  this->unknown.clear();
  for (auto& [part, state] : states) {
    const auto machine = this->machines.find(part);
    if (machine == this->machines.end()) {
      this->unknown[part] = std::move(state);
    } else if (auto loaded = machine->second->Load(state); !loaded) {
      return loaded;
    }
  }
  return Success();
}

} // namespace damasklink
