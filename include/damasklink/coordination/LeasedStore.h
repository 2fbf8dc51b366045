// One store as its owner serves it to all hosts: questions, grants and their outcomes.
#pragma once

#include <map>
#include <set>

#include "damasklink/coordination/StoreMessages.h"

namespace damasklink {

// A model in one weight version.
using ModelVersion = std::pair<ModelName, WeightVersion>;

// Answers questions about a store while the lease holds.
//
//   LeasedStore owned(clock, lease, options);
//   owned.Rebuild(inventory);                  // Until then it knows of nothing.
//   StoreAnswer answer = owned.Answer(question);
//   owned.OnOutcome(outcome);
//   owned.Expire();                            // Every tick.
//
// Grants whose outcome never comes end with their lease. An outcome that is late, doubled or of an
// earlier owner is ignored. Not thread-safe.
class LeasedStore
{
public:
  LeasedStore(const Clock& aClock, FencingNumber aFencing, StoreManagerOptions aOptions);

  // Moves the end of this owner's lease, on this host's clock.
  void Renew(MonotonicTime aUntil) { this->until = aUntil; }

  // Takes over what the store holds.
  void Rebuild(const std::vector<BlockHeader>& aInventory);

  // Answers with NotOwner once the lease has run out.
  StoreAnswer Answer(const StoreQuestion& aQuestion);

  void OnOutcome(const StoreOutcome& aOutcome);

  // Tells which versions engines serve now. One that none has served for a while is drained.
  void OnServed(const std::set<ModelVersion>& aServed);

  // Lets grants and leases run out.
  void Expire();

  // Orders for the store since the last call; none once the lease has run out.
  std::vector<BlockCommand> TakeFreed();
  std::vector<BlockCommand> TakeDemoted();

  bool HoldsLease() const;
  bool IsReady() const { return this->ready; }
  FencingNumber Fencing() const { return this->fencing; }
  const BlockDirectory& Directory() const { return this->owner.Directory(); }

private:
  struct OpenGrant
  {
    ImportGrant importGrant;
    ExportGrant exportGrant;
    MonotonicTime until;
  };

  void AnswerLookUp(const StoreQuestion& aQuestion, StoreAnswer& aAnswer);
  void AnswerImport(const StoreQuestion& aQuestion, StoreAnswer& aAnswer);
  void AnswerExport(const StoreQuestion& aQuestion, StoreAnswer& aAnswer);
  GrantId AddGrant(OpenGrant aGrant, Duration aValid);
  void FinishGrant(const OpenGrant& aGrant, const StoreOutcome& aOutcome);

  const Clock& clock;
  FencingNumber fencing;
  StoreManagerOptions options;
  StoreManager owner;
  MonotonicTime until;
  bool ready = false;
  GrantId lastGrant;
  std::map<GrantId, OpenGrant> grants;
  std::map<ModelVersion, MonotonicTime> lastServed;
};

} // namespace damasklink
