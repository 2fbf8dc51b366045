// Prompt stores on the control thread: leases, questions of hosts, and what peers report of load
// and engine caches.
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

// What StoresModule needs besides the HostContext; must outlive it.
struct StoresContext
{
  Replicator& groups;
  SynchronizedRouter& routing;
  CostRouter& router;
  StoreAnswers& answers;
  // Runs the HTTP calls to stores and engines.
  WorkThread& work;
};

// Leases stores of this zone from the zone's claims group and answers questions about them.
// Forwards questions about other stores to their owners. All functions are called on the control
// thread.
class StoresModule final : public ControlModule
{
public:
  StoresModule(const HostContext& aContext, const StoresContext& aStores);

  // Sends a question to the owner of its store. The answer arrives in StoreAnswers; it may be lost.
  void Ask(StoreQuestion aQuestion);

  // Reports to the owner how the transfer of a grant ended.
  void ReportOutcome(const StoreOutcome& aOutcome);

  // Handles a cache event that an engine sent to this host, and forwards it to all peers.
  void HandleCacheEvent(const CacheEvent& aEvent);

  void OnPeerMessage(const HostId& aFrom, const PeerMessage& aMessage) override;
  void OnTick(MonotonicTime aNow) override;
  void OnShutdown() override;

private:
  // The owner of a store, by the last notice of a peer.
  struct KnownOwner
  {
    HostId host;
    FencingNumber fencing;
    MonotonicTime receivedAt;
  };

  struct MessageHandler;

  void ApplyOwnerNotice(const OwnerNotice& aNotice);
  void BroadcastSends();
  // Expires grants and sends the orders of the owned stores.
  void MaintainOwnedStores(MonotonicTime aNow);
  // Renews leases, and requests those of stores without a known owner.
  void MaintainLeases(MonotonicTime aNow);
  // A length of 0 gives the lease up.
  void RequestLease(const StoreId& aStore, Duration aLength);
  void ApplyLease(const StoreId& aStore, MonotonicTime aRequestedAt, const StoreLease& aLease);
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
  // The stores that this host leases.
  std::map<StoreId, std::unique_ptr<LeasedStore>> owned;
  std::map<StoreId, KnownOwner> knownOwners;
  MonotonicTime nextBroadcast;
  MonotonicTime nextLeaseCheck;
  bool leaving = false;
};

} // namespace damasklink
