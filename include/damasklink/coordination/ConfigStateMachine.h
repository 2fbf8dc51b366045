// The configuration tree that the control group replicates.
#pragma once

#include <deque>

#include <absl/container/flat_hash_map.h>

#include "damasklink/coordination/ChangeAnswerCache.h"
#include "damasklink/coordination/Replication.h"
#include "damasklink/state/Digests.h"

namespace damasklink {

// Receives the changes of the replicated tree, synchronously while a command or a snapshot is
// applied.
class CommittedTreeObserver
{
public:
  virtual ~CommittedTreeObserver() = default;

  // One change was accepted and applied.
  virtual void OnChange(const TreeChange& aChange) = 0;

  // The tree was replaced by a snapshot or by the initial tree.
  virtual void OnTree(const RevisionedTree& aTree) = 0;
};

// Replicated state machine that checks and applies configuration changes in log order.
//
//   ConfigStateMachine machine;
//   replicator.AddMachine(ControlGroupId(), StateMachineId::Configuration, machine);
//   replicator.Propose(ControlGroupId(), StateMachineId::Configuration, PackConfigChange(change),
//   ...);
//
// - Of several changes based on the same version of a subtree exactly one is accepted. The others
//   are answered with Conflict and the current version.
// - A resent change id gets its first answer as long as it is among the last
//   ChangeAnswerCache::kKept ids. With other content it is answered with IdReused.
// - A change that allows more than its parent in the tree, or contains a key of another workspace,
//   is refused.
// - An answer of Accepted means that the command has been committed.
// - The history keeps the last kKeptHistory accepted changes.
//
// Not thread-safe.
class ConfigStateMachine final : public ReplicatedStateMachine
{
public:
  static constexpr std::size_t kKeptHistory = 20'000;

  // aListener may be null; otherwise it must outlive this object.
  explicit ConfigStateMachine(CommittedTreeObserver* aListener = nullptr);

  std::string Apply(const ApplyContext& aContext, std::string_view aCommand) override;
  std::string Save() const override;
  Result<void> Load(std::string_view aSnapshot) override;

  const RevisionedTree& Tree() const { return this->tree; }

  // Returns up to aMost accepted changes, newest first; those of one subtree if aName is given.
  std::vector<HistoryEntry> History(const std::optional<SubtreeName>& aName,
                                    std::size_t aMost) const;

private:
  // Maps the digest of a key to the workspace that holds it.
  using KeyHolders = absl::flat_hash_map<DigestBytes, WorkspaceId>;

  std::string AnswerHistory(CompactReader& aQuery) const;
  ChangeAnswer ApplyChange(const ApplyContext& aContext, const ConfigChange& aChange);
  ChangeAnswer ApplySeed(const ApplyContext& aContext,
                         const ChangeId& aId,
                         const std::string& aAuthor,
                         RevisionedTree aTree);
  // Returns a description of the first problem of a change, or an empty text.
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
