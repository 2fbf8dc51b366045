// A store whose lease this host holds: answers the questions of all hosts and tracks its grants.
#pragma once

#include <map>
#include <set>

#include "damasklink/coordination/StoreMessages.h"

namespace damasklink {

// A model in one weight version.
using ModelVersion = std::pair<ModelName, WeightVersion>;

// Answers questions about a store while this host holds its lease.
//
//   LeasedStore store(clock, fencing, options);
//   store.Renew(leaseEnd);
//   store.Rebuild(inventory);                  // Before that, every answer is NotOwner.
//   StoreAnswer answer = store.Answer(question);
//   store.OnOutcome(outcome);
//   store.Expire();                            // Call periodically.
//
// A grant without an outcome ends when its pin or write lease expires. Outcomes that are late,
// duplicated or meant for an earlier owner are ignored. Not thread-safe.
class LeasedStore
{
public:
  LeasedStore(const Clock& aClock, FencingNumber aFencing, StoreManagerOptions aOptions);

  // Sets the end of this owner's lease, on this host's clock.
  void Renew(MonotonicTime aUntil) { this->until = aUntil; }

  // Loads the inventory that the store reports; see BlockDirectory::Rebuild().
  void Rebuild(const std::vector<BlockHeader>& aInventory);

  // Answers a question; with NotOwner before Rebuild() and after the lease has expired.
  StoreAnswer Answer(const StoreQuestion& aQuestion);

  // Ends a grant by the result of its transfer.
  void OnOutcome(const StoreOutcome& aOutcome);

  // Takes the weight versions that engines serve now. A version that no engine has served for 60
  // seconds is drained.
  void OnServed(const std::set<ModelVersion>& aServed);

  // Ends expired grants, pins and reservations.
  void Expire();

  // Return the commands for the store since the last call; none after the lease has expired.
  std::vector<BlockCommand> TakeFreed();
  std::vector<BlockCommand> TakeDemoted();

  bool HoldsLease() const;
  // Returns whether Rebuild() was called.
  bool IsReady() const { return this->ready; }
  FencingNumber Fencing() const { return this->fencing; }
  const BlockDirectory& Directory() const { return this->manager.Directory(); }

private:
  // Exactly one of the two grants has blocks.
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
  StoreManager manager;
  // End of the lease.
  MonotonicTime until;
  bool ready = false;
  GrantId lastGrant;
  std::map<GrantId, OpenGrant> grants;
  std::map<ModelVersion, MonotonicTime> lastServed;
};

} // namespace damasklink
