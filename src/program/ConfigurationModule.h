// The configuration on the control thread: machine, spread, and the picture of traffic threads.
#pragma once

#include <functional>

#include "HostContext.h"
#include "TreeWriter.h"
#include "damasklink/coordination/CallerIndex.h"
#include "damasklink/coordination/ConfigStateMachine.h"
#include "damasklink/coordination/Replication.h"

namespace damasklink {

// Owns the replica's machine and the tree in force. All calls come on the control thread, but for
// what the replicator does before the loop starts.
class ConfigurationModule final
  : public ControlModule
  , public CommittedTreeObserver
{
public:
  ConfigurationModule(const HostContext& aContext,
                      Replicator& aGroups,
                      const HostMembership& aMembership);

  // Sets the tree that is applied while none exists.
  void SetInitialTree(RevisionedTree aTree) { this->initialTree = std::move(aTree); }

  // Takes the tree that this host kept on its disk, and keeps later ones there. Fails with what is
  // wrong with the file.
  Result<void> UseStoredTree(const std::string& aFolder);

  void OnChange(const TreeChange& aChange) override;
  void OnTree(const RevisionedTree& aTree) override;

  void OnPeerMessage(const HostId& aFrom, const PeerMessage& aMessage) override;
  void OnTick(MonotonicTime aNow) override;

  // Puts a change through the control group and hands on its answer.
  void Change(const ConfigChange& aChange, std::function<void(Result<ChangeAnswer>)> aDone);

  void ReadHistory(const std::optional<SubtreeName>& aName,
                   std::size_t aMost,
                   std::function<void(Result<std::vector<HistoryEntry>>)> aDone);

  ConfigDistributor& Distributor() { return this->distributor; }
  const ConfigDistributor& Distributor() const { return this->distributor; }
  GroupStatus ControlStatus() const { return this->groups.Status(ControlGroupId()); }

private:
  // Fills the empty tree of a new group.
  void SeedWhenEmpty(bool aLeaseHeld);
  void SendOutgoing();
  void PublishChanges();

  const HostContext& context;
  Replicator& groups;
  CallerIndex index;
  ConfigDistributor distributor;
  ConfigStateMachine machine;
  std::optional<RevisionedTree> initialTree;
  // Null on a host without a disk.
  std::unique_ptr<TreeWriter> writer;
  bool seeding = false;
  bool published = false;
  Revision publishedRevision;
  bool publishedStale = false;
};

} // namespace damasklink
