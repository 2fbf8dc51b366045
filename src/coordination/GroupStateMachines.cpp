#include "damasklink/coordination/GroupStateMachines.h"

#include "damasklink/state/Bytes.h"

namespace damasklink {

void
GroupStateMachines::Add(StateMachineId aMachineId, ReplicatedStateMachine& aMachine)
{
  this->machines[aMachineId] = &aMachine;
}

std::optional<AppliedProposal>
GroupStateMachines::Apply(const LogEntry& aEntry)
{
  if (aEntry.kind != EntryKind::Command) {
    return std::nullopt;
  }
  const auto state = this->sessions.Register(aEntry.proposal, aEntry.index);
  if (state == ProposerSessions::ProposalState::Expired) {
    return AppliedProposal{ aEntry.proposal, std::nullopt };
  }
  if (state == ProposerSessions::ProposalState::Applied) {
    return AppliedProposal{ aEntry.proposal, this->sessions.Find(aEntry.proposal) };
  }
  std::string answer;
  const auto machine = this->machines.find(static_cast<StateMachineId>(aEntry.part));
  if (machine != this->machines.end()) {
    ApplyContext context{ this->group, aEntry.index, aEntry.term, aEntry.proposedAt, {}, {} };
    context.incarnation = this->incarnationMachine == nullptr
                            ? Incarnation(1)
                            : this->incarnationMachine->Current().incarnation;
    context.formedAt = this->incarnationMachine == nullptr
                         ? WallTime()
                         : this->incarnationMachine->Current().formedAt;
    answer = machine->second->Apply(context, aEntry.command);
  }
  this->sessions.Keep(aEntry.proposal, answer);
  return AppliedProposal{ aEntry.proposal, std::move(answer) };
}

std::string
GroupStateMachines::Save() const
{
  std::map<StateMachineId, std::string> states = this->unknownStates;
  for (const auto& [id, machine] : this->machines) {
    states[id] = machine->Save();
  }
  ByteWriter writer;
  writer.Text(this->sessions.Save());
  writer.Number(states.size());
  for (const auto& [id, state] : states) {
    writer.Byte(static_cast<std::uint8_t>(id));
    writer.Text(state);
  }
  return writer.Take();
}

Result<void>
GroupStateMachines::Load(std::string_view aBytes)
{
  ByteReader reader(aBytes);
  const std::string sessionBytes = reader.Text();
  const std::uint64_t count = reader.Number();
  std::map<StateMachineId, std::string> states;
  for (std::uint64_t index = 0; index < count && reader.Ok(); ++index) {
    const auto id = static_cast<StateMachineId>(reader.Byte());
    states[id] = reader.Text();
  }
  if (!reader.Finished()) {
    return Fail(ErrorKind::Corrupt,
                "the state of the state machines in a snapshot cannot be decoded",
                "replace this host's data folder by an empty one; see docs/STATE.md");
  }
  if (auto loaded = this->sessions.Load(sessionBytes); !loaded) {
    return loaded;
  }
  this->unknownStates.clear();
  for (auto& [id, state] : states) {
    const auto machine = this->machines.find(id);
    if (machine == this->machines.end()) {
      this->unknownStates[id] = std::move(state);
    } else if (auto loaded = machine->second->Load(state); !loaded) {
      return loaded;
    }
  }
  return Success();
}

} // namespace damasklink
