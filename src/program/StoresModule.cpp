#include "StoresModule.h"

#include "damasklink/protocol/StoresCodec.h"
#include "damasklink/state/Text.h"
#include "damasklink/state/Units.h"
#include "damasklink/transport/HttpClient.h"
#include "damasklink/transport/Log.h"

namespace damasklink {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kBroadcastInterval = milliseconds(100);
constexpr Duration kLeaseCheckInterval = seconds(1);
constexpr Duration kLeaseLength = seconds(6);
// The owner stops using its lease this long before the end, counted by its own clock from the time
// of the request.
constexpr Duration kLeaseMargin = seconds(1);
// After this time without a notice from the owner its lease is requested; the claims group grants
// it only when the owner's lease has ended.
constexpr Duration kOwnerTimeout = seconds(3);
constexpr Duration kProposalTimeout = seconds(2);
constexpr Duration kCallTimeout = seconds(2);
constexpr ByteCount kMaxInventory{ 256 * kMebibyte };
constexpr int kOk = 200;

HttpCall
CallTo(const Endpoint& aEndpoint, const std::string& aMethod, const std::string& aPath)
{
  HttpCall call;
  call.endpoint = aEndpoint;
  call.method = aMethod;
  call.path = aPath;
  call.headers = { { "content-type", "application/json" } };
  call.readTimeout = kCallTimeout;
  return call;
}

} // namespace

// Handles a message by its type.
struct StoresModule::MessageHandler
{
  StoresModule& module;
  const HostId& from;

  void operator()(const OwnerNotice& aNotice) const { this->module.ApplyOwnerNotice(aNotice); }

  void operator()(const StoreQuestion& aQuestion) const
  {
    const auto owned = this->module.owned.find(aQuestion.store);
    if (owned == this->module.owned.end()) {
      StoreAnswer answer;
      answer.number = aQuestion.number;
      answer.status = AnswerStatus::NotOwner;
      this->module.Send(this->from, answer);
      return;
    }
    this->module.Send(this->from, owned->second->Answer(aQuestion));
  }

  void operator()(const StoreAnswer& aAnswer) const { this->module.stores.answers.Fulfil(aAnswer); }

  void operator()(const StoreOutcome& aOutcome) const
  {
    const auto owned = this->module.owned.find(aOutcome.store);
    if (owned != this->module.owned.end()) {
      owned->second->OnOutcome(aOutcome);
    }
  }

  void operator()(const SendsNotice& aSends) const
  {
    this->module.stores.routing.Run([&] { this->module.stores.router.OnPeerSends(aSends); });
  }

  void operator()(const CacheEvent& aEvent) const
  {
    this->module.stores.routing.Run([&] { this->module.stores.router.Caches().OnEvent(aEvent); });
  }

  void operator()(const CacheSnapshot& aSnapshot) const
  {
    this->module.stores.routing.Run(
      [&] { this->module.stores.router.Caches().OnSnapshot(aSnapshot); });
  }
};

StoresModule::StoresModule(const HostContext& aContext, const StoresContext& aStores)
  : context(aContext)
  , stores(aStores)
{
}

void
StoresModule::Ask(StoreQuestion aQuestion)
{
  const auto ownedStore = this->owned.find(aQuestion.store);
  if (ownedStore != this->owned.end()) {
    this->stores.answers.Fulfil(ownedStore->second->Answer(aQuestion));
    return;
  }
  const auto knownOwner = this->knownOwners.find(aQuestion.store);
  if (knownOwner != this->knownOwners.end()) {
    this->Send(knownOwner->second.host, std::move(aQuestion));
    return;
  }
  StoreAnswer notOwner;
  notOwner.number = aQuestion.number;
  notOwner.status = AnswerStatus::NotOwner;
  this->stores.answers.Fulfil(notOwner);
}

void
StoresModule::ReportOutcome(const StoreOutcome& aOutcome)
{
  const auto ownedStore = this->owned.find(aOutcome.store);
  if (ownedStore != this->owned.end()) {
    ownedStore->second->OnOutcome(aOutcome);
    return;
  }
  const auto knownOwner = this->knownOwners.find(aOutcome.store);
  if (knownOwner != this->knownOwners.end()) {
    this->Send(knownOwner->second.host, aOutcome);
  }
}

void
StoresModule::HandleCacheEvent(const CacheEvent& aEvent)
{
  MessageHandler{ *this, this->context.settings.host }(aEvent);
  this->Broadcast(aEvent);
}

void
StoresModule::OnPeerMessage(const HostId& aFrom, const PeerMessage& aMessage)
{
  auto message = DecodeStoresMessage(aMessage.payload);
  if (!message) {
    LogEvent(LogLevel::Warning, "stores_message_dropped")
      .With("from", aFrom)
      .With("error", message.error());
    return;
  }
  std::visit(MessageHandler{ *this, aFrom }, message.value());
}

void
StoresModule::OnTick(MonotonicTime aNow)
{
  if (aNow >= this->nextBroadcast) {
    this->nextBroadcast = aNow + kBroadcastInterval;
    this->BroadcastSends();
    this->MaintainOwnedStores(aNow);
  }
  if (aNow >= this->nextLeaseCheck && !this->leaving) {
    this->nextLeaseCheck = aNow + kLeaseCheckInterval;
    this->MaintainLeases(aNow);
    this->FetchSnapshots();
  }
}

void
StoresModule::OnShutdown()
{
  this->leaving = true;
  const auto released = std::exchange(this->owned, {});
  for (const auto& [store, owned] : released) {
    this->RequestLease(store, Duration(0));
  }
}

void
StoresModule::ApplyOwnerNotice(const OwnerNotice& aNotice)
{
  KnownOwner& known = this->knownOwners[aNotice.store];
  if (aNotice.fencing < known.fencing) {
    return;
  }
  known = { aNotice.owner, aNotice.fencing, this->context.clock.MonotonicNow() };
  const auto ownedStore = this->owned.find(aNotice.store);
  if (ownedStore != this->owned.end() && ownedStore->second->Fencing() < aNotice.fencing) {
    this->owned.erase(ownedStore);
  }
}

void
StoresModule::BroadcastSends()
{
  SendsNotice sends;
  this->stores.routing.Run([&] { sends = this->stores.router.TakeSends(); });
  if (!sends.empty()) {
    this->Broadcast(sends);
  }
}

void
StoresModule::MaintainOwnedStores(MonotonicTime /*aNow*/)
{
  std::set<ModelVersion> served;
  for (const TargetRecord& target : this->context.publisher.Current().targets) {
    for (const ServedModel& model : target.models) {
      served.emplace(model.model, model.version);
    }
  }
  for (const auto& [store, owned] : this->owned) {
    owned->Expire();
    owned->OnServed(served);
    this->SendOrders(store, kFreePath, owned->Fencing(), owned->TakeFreed());
    this->SendOrders(store, kDemotePath, owned->Fencing(), owned->TakeDemoted());
  }
}

void
StoresModule::MaintainLeases(MonotonicTime aNow)
{
  std::erase_if(this->owned, [](const auto& aOwned) { return !aOwned.second->HoldsLease(); });
  for (const TargetRecord& target : this->context.publisher.Current().targets) {
    if (target.kind != TargetKind::Store || target.zone != this->context.settings.zone) {
      continue;
    }
    const StoreId store(target.id.Value());
    const auto knownOwner = this->knownOwners.find(store);
    const bool ownedElsewhere =
      knownOwner != this->knownOwners.end() && aNow - knownOwner->second.receivedAt < kOwnerTimeout;
    const auto ownedStore = this->owned.find(store);
    if (ownedStore != this->owned.end()) {
      this->Broadcast(
        OwnerNotice{ store, this->context.settings.host, ownedStore->second->Fencing() });
    }
    if (ownedStore != this->owned.end() || !ownedElsewhere) {
      this->RequestLease(store, kLeaseLength);
    }
  }
}

void
StoresModule::RequestLease(const StoreId& aStore, Duration aLength)
{
  const MonotonicTime requestedAt = this->context.clock.MonotonicNow();
  const LeaseCommand command{ aStore, this->context.settings.host, aLength };
  this->stores.groups.Propose(ClaimsGroupId(this->context.settings.zone),
                              StateMachineId::Leases,
                              EncodeLeaseCommand(command),
                              kProposalTimeout,
                              [this, aStore, requestedAt](Result<std::string> aAnswer) {
                                auto lease = aAnswer ? DecodeLease(aAnswer.value())
                                                     : Result<StoreLease>(Fail(aAnswer.error()));
                                if (lease) {
                                  this->ApplyLease(aStore, requestedAt, lease.value());
                                }
                              });
}

void
StoresModule::ApplyLease(const StoreId& aStore,
                         MonotonicTime aRequestedAt,
                         const StoreLease& aLease)
{
  const auto ownedStore = this->owned.find(aStore);
  if (this->leaving || aLease.owner != this->context.settings.host) {
    if (ownedStore != this->owned.end()) {
      this->owned.erase(ownedStore);
    }
    return;
  }
  const TargetRecord* store = this->FindStore(aStore);
  if (store == nullptr) {
    return;
  }
  if (ownedStore == this->owned.end() || ownedStore->second->Fencing() != aLease.fencing) {
    this->AcquireStore(*store, aLease);
  }
  this->owned.at(aStore)->Renew(aRequestedAt + kLeaseLength - kLeaseMargin);
}

void
StoresModule::AcquireStore(const TargetRecord& aStore, const StoreLease& aLease)
{
  const StoreId store(aStore.id.Value());
  StoreManagerOptions options;
  options.store = store;
  options.declared = aStore.store;
  this->owned[store] = std::make_unique<LeasedStore>(this->context.clock, aLease.fencing, options);
  this->knownOwners.erase(store);
  LogEvent(LogLevel::Info, "store_owned").With("store", store).With("fencing", aLease.fencing);
  this->FetchInventory(store, aLease.fencing, aStore.endpoint);
}

void
StoresModule::FetchInventory(const StoreId& aStore,
                             FencingNumber aFencing,
                             const Endpoint& aEndpoint)
{
  this->stores.work.Add([this, aStore, aFencing, aEndpoint] {
    const auto answer = CallHttp(CallTo(aEndpoint, "GET", kBlocksPath), kMaxInventory);
    std::vector<BlockHeader> inventory;
    if (answer && answer.value().status == kOk) {
      auto parsed = ParseInventory(answer.value().body);
      inventory = parsed ? std::move(parsed.value()) : std::vector<BlockHeader>();
    }
    // A store whose inventory can't be read counts as empty, and its blocks are not reused.
    this->context.control.Post([this, aStore, aFencing, blocks = std::move(inventory)] {
      const auto ownedStore = this->owned.find(aStore);
      if (ownedStore != this->owned.end() && ownedStore->second->Fencing() == aFencing &&
          !ownedStore->second->IsReady()) {
        ownedStore->second->Rebuild(blocks);
      }
    });
  });
}

void
StoresModule::SendOrders(const StoreId& aStore,
                         const char* aPath,
                         FencingNumber aFencing,
                         std::vector<BlockCommand> aBlocks)
{
  const TargetRecord* store = aBlocks.empty() ? nullptr : this->FindStore(aStore);
  if (store == nullptr) {
    return;
  }
  HttpCall call = CallTo(store->endpoint, "POST", aPath);
  call.body = FormatStoreOrder({ aFencing, std::move(aBlocks) });
  // If an order is lost, its blocks stay at the store until the next owner reads the inventory.
  this->stores.work.Add(
    [call = std::move(call)]() mutable { (void)CallHttp(std::move(call), ByteCount(kMebibyte)); });
}

void
StoresModule::FetchSnapshots()
{
  std::vector<TargetId> stale;
  this->stores.routing.Run([&] { stale = this->stores.router.Caches().StaleTargets(); });
  for (const TargetId& target : stale) {
    const TargetRecord* engine = this->FindTarget(target);
    if (engine == nullptr) {
      continue;
    }
    this->stores.work.Add([this, call = CallTo(engine->endpoint, "GET", kSnapshotPath)]() mutable {
      const auto answer = CallHttp(std::move(call), kMaxInventory);
      if (!answer || answer.value().status != kOk) {
        return;
      }
      if (const auto snapshot = ParseCacheSnapshot(answer.value().body)) {
        this->stores.routing.Run(
          [&] { this->stores.router.Caches().OnSnapshot(snapshot.value()); });
      }
    });
  }
}

void
StoresModule::Broadcast(const StoresMessage& aMessage)
{
  const std::string payload = EncodeStoresMessage(aMessage);
  for (const PeerSettings& peer : this->context.settings.peers) {
    if (peer.host != this->context.settings.host) {
      this->context.peers.Send(peer.host, PeerMessage{ Channel::Stores, GroupId(), payload });
    }
  }
}

void
StoresModule::Send(const HostId& aTo, const StoresMessage& aMessage)
{
  this->context.peers.Send(
    aTo, PeerMessage{ Channel::Stores, GroupId(), EncodeStoresMessage(aMessage) });
}

const TargetRecord*
StoresModule::FindTarget(const TargetId& aTarget) const
{
  for (const TargetRecord& target : this->context.publisher.Current().targets) {
    if (target.id == aTarget) {
      return &target;
    }
  }
  return nullptr;
}

const TargetRecord*
StoresModule::FindStore(const StoreId& aStore) const
{
  return this->FindTarget(TargetId(aStore.Value()));
}

} // namespace damasklink
