// The configuration on the control thread: its replicated state machine, its distribution to all
// hosts, and its publication to traffic threads.
#pragma once

#include <functional>

#include "HostContext.h"
#include "TreeWriter.h"
#include "damasklink/coordination/CallerIndex.h"
#include "damasklink/coordination/ConfigStateMachine.h"
#include "damasklink/coordination/Replication.h"

namespace damasklink {

// Owns the ConfigStateMachine and the ConfigDistributor, which has the tree in force. All calls are
// made on the control thread, except those of the replicator before the control loop starts.
class ConfigurationModule final
  : public ControlModule
  , public CommittedTreeObserver
{
public:
  ConfigurationModule(const HostContext& aContext,
                      Replicator& aGroups,
                      const HostMembership& aMembership);

  // Sets the tree that is proposed if the group has none.
  void SetInitialTree(RevisionedTree aTree) { this->initialTree = std::move(aTree); }

  // Loads the tree from this host's disk, and stores later ones there. Fails if the file cannot be
  // read.
  Result<void> UseStoredTree(const std::string& aFolder);

  void OnChange(const TreeChange& aChange) override;
  void OnTree(const RevisionedTree& aTree) override;

  void OnPeerMessage(const HostId& aFrom, const PeerMessage& aMessage) override;
  void OnTick(MonotonicTime aNow) override;

  // Proposes a change to the control group, and calls aDone with its answer.
  void Change(const ConfigChange& aChange, std::function<void(Result<ChangeAnswer>)> aDone);

  // Calls aDone with at most aMost accepted changes, of one subtree if aName is set.
  void ReadHistory(const std::optional<SubtreeName>& aName,
                   std::size_t aMost,
                   std::function<void(Result<std::vector<HistoryEntry>>)> aDone);

  ConfigDistributor& Distributor() { return this->distributor; }
  const ConfigDistributor& Distributor() const { return this->distributor; }
  GroupStatus ControlStatus() const { return this->groups.Status(ControlGroupId()); }

private:
  // Proposes a tree if that of the group is empty.
  void SeedWhenEmpty(bool aLeaseHeld);
  void SendOutgoing();
  void PublishChanges();

  const HostContext& context;
  Replicator& groups;
  CallerIndex index;
  ConfigDistributor distributor;
  ConfigStateMachine machine;
  std::optional<RevisionedTree> initialTree;
  // Null on a host without a data folder.
  std::unique_ptr<TreeWriter> writer;
  bool seeding = false;
  bool published = false;
  Revision publishedRevision;
  bool publishedStale = false;
};

} // namespace damasklink
