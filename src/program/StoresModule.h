// Stores on the control thread: ownership, questions of all hosts, load and cache news of peers.
#pragma once

#include <map>
#include <memory>

#include "HostContext.h"
#include "StoreAnswers.h"
#include "SynchronizedRouter.h"
#include "WorkThread.h"
#include "damasklink/coordination/CostRouter.h"
#include "damasklink/coordination/LeasedStore.h"
#include "damasklink/coordination/StoreLeases.h"
#include "damasklink/protocol/StoreApi.h"

namespace damasklink {

// What the module needs besides the host's context; outlives it.
struct StoresContext
{
  Replicator& groups;
  SynchronizedRouter& routing;
  CostRouter& router;
  StoreAnswers& answers;
  // For calls to stores and engines.
  WorkThread& work;
};

// Owns some of the zone's stores, by leases from the zone's claims group, and passes questions to
// the owners of the others. All calls come on the control thread.
class StoresModule final : public ControlModule
{
public:
  StoresModule(const HostContext& aContext, const StoresContext& aStores);

  // Sends a question to its store's owner. The answer comes through StoreAnswers, or not at all.
  void Ask(StoreQuestion aQuestion);

  // Tells the owner what came of a grant.
  void ReportOutcome(const StoreOutcome& aOutcome);

  // Takes an engine's cache event that came to this host, and passes it on to all peers.
  void HandleCacheEvent(const CacheEvent& aEvent);

  void OnPeerMessage(const HostId& aFrom, const PeerMessage& aMessage) override;
  void OnTick(MonotonicTime aNow) override;
  void OnShutdown() override;

private:
  // Who another host says owns a store.
  struct KnownOwner
  {
    HostId host;
    FencingNumber fencing;
    MonotonicTime heard;
  };

  struct Receiver;

  void ApplyOwnerNotice(const OwnerNotice& aNotice);
  void BroadcastSends();
  void MaintainOwnedStores(MonotonicTime aNow);
  void MaintainLeases(MonotonicTime aNow);
  void RequestLease(const StoreId& aStore, Duration aLength);
  void ApplyLease(const StoreId& aStore, MonotonicTime aAsked, const StoreLease& aLease);
  void AcquireStore(const TargetRecord& aStore, const StoreLease& aLease);
  void FetchInventory(const StoreId& aStore, FencingNumber aFencing, const Endpoint& aEndpoint);
  void SendOrders(const StoreId& aStore,
                  const char* aPath,
                  FencingNumber aFencing,
                  std::vector<BlockCommand> aBlocks);
  void FetchSnapshots();
  void Broadcast(const StoresMessage& aMessage);
  void Send(const HostId& aTo, const StoresMessage& aMessage);
  const TargetRecord* FindTarget(const TargetId& aTarget) const;
  const TargetRecord* FindStore(const StoreId& aStore) const;

  const HostContext& context;
  StoresContext stores;
  std::map<StoreId, std::unique_ptr<LeasedStore>> owned;
  std::map<StoreId, KnownOwner> others;
  MonotonicTime nextBroadcast;
  MonotonicTime nextLeaseCheck;
  bool leaving = false;
};

} // namespace damasklink
