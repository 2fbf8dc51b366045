// The configuration tree as the control group replicates it.
#pragma once

#include <deque>

#include <absl/container/flat_hash_map.h>

#include "damasklink/coordination/ChangeAnswerCache.h"
#include "damasklink/coordination/Replication.h"
#include "damasklink/state/Digests.h"

namespace damasklink {

// Hears of what the replicated tree becomes. Called while a command is applied.
class CommittedTreeObserver
{
public:
  virtual ~CommittedTreeObserver() = default;

  // A change was accepted.
  virtual void OnChange(const TreeChange& aChange) = 0;

  // The tree as a whole was put in place: a snapshot, or the first tree.
  virtual void OnTree(const RevisionedTree& aTree) = 0;
};

// Accepts changes one after the other and remembers what it answered.
//
//   ConfigStateMachine machine;
//   replicator.AddMachine(ControlGroupId(), MachinePart::Configuration, machine);
//   replicator.Propose(ControlGroupId(), MachinePart::Configuration, PackConfigChange(change),
//   ...);
//
// - Of changes made from the same version exactly one is accepted; the others' Conflict names the
//   version in force.
// - A change id that comes again gets its first answer, whatever happened since, as long as it is
//   among the last ChangeAnswerCache::kKept ones; with other content it is refused.
// - A change that widens what its parent allows, or takes a key that another workspace holds, is
//   refused. Accepted means: the answer came back from a committed command.
// - The history keeps the last kKeptHistory accepted changes.
class ConfigStateMachine final : public ReplicatedMachine
{
public:
  static constexpr std::size_t kKeptHistory = 20'000;

  // aListener may be null; it must outlive the machine.
  explicit ConfigStateMachine(CommittedTreeObserver* aListener = nullptr);

  std::string Apply(const ApplyContext& aContext, std::string_view aCommand) override;
  std::string Save() const override;
  Result<void> Load(std::string_view aSnapshot) override;

  const RevisionedTree& Tree() const { return this->tree; }

  // Returns up to aMost accepted changes, newest first; of one subtree when aName is given.
  std::vector<HistoryEntry> History(const std::optional<SubtreeName>& aName,
                                    std::size_t aMost) const;

private:
  // Which workspace holds a key.
  using KeyHolders = absl::flat_hash_map<DigestBytes, WorkspaceId>;

  std::string AnswerHistory(CompactReader& aQuery) const;
  ChangeAnswer ApplyChange(const ApplyContext& aContext, const ConfigChange& aChange);
  ChangeAnswer ApplySeed(const ApplyContext& aContext,
                         const ChangeId& aId,
                         const std::string& aAuthor,
                         RevisionedTree aTree);
  // Returns what is wrong with a change, empty when nothing is.
  std::string FindProblem(const ConfigChange& aChange) const;
  std::string FindKeyProblem(const WorkspaceId& aId, const WorkspaceNode& aWorkspace) const;
  void Install(const ApplyContext& aContext, const ConfigChange& aChange);
  void Remember(HistoryEntry aEntry);
  void RegisterKeys(const SubtreeName& aName, const WorkspaceNode* aWorkspace);
  void UnregisterKeys(const WorkspaceNode* aWorkspace);

  CommittedTreeObserver* listener;
  RevisionedTree tree;
  ChangeAnswerCache answers;
  std::deque<HistoryEntry> history;
  KeyHolders keyHolders;
};

} // namespace damasklink
