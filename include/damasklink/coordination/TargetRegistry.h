// The targets that have announced themselves, merged from announcements in any order.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <vector>

#include "damasklink/coordination/Target.h"
#include "damasklink/state/Clock.h"

namespace damasklink {

// Merges announcements and tells which targets may get new work.
//
//   TargetRegistry registry(clock, std::chrono::seconds(2));
//   registry.Merge(record);
//   for (const TargetRecord& target : registry.Usable()) ...
//
// - A record replaces the stored one only when its (incarnation, sequence) is higher. `leaving`
//   stays set for the rest of an incarnation.
// - A target that has not been heard from for the silence limit is not usable. It is remembered for
//   a while longer, so that a late announcement of an older incarnation cannot bring it back.
// - An address belongs to the target that announced itself from it last. A target that crashed does
//   not sign off, and another one may start at its address.
//
// Not thread-safe.
class TargetRegistry
{
public:
  // aSilence: how long a target may be silent and still be usable.
  TargetRegistry(const Clock& aClock, Duration aSilence);

  // Takes an announcement that was just received. Returns whether it was newer than the stored
  // record, so that it should be passed on to peers.
  bool Merge(const TargetRecord& aRecord);

  // As above, with a silence limit of its own for this target.
  bool Merge(const TargetRecord& aRecord, Duration aSilence);

  // Takes a keepalive of the stored incarnation. Returns false, and does nothing, when the target
  // is unknown or another incarnation is stored.
  bool Refresh(const TargetId& aTarget,
               Incarnation aIncarnation,
               Sequence aSequence,
               const TargetLoad& aLoad);

  // Marks the target as silent since aSequence, as reported by the host that it announces itself
  // to. Does nothing when a later announcement is stored.
  void MarkSilent(const TargetId& aTarget, Incarnation aIncarnation, Sequence aSequence);

  // Returns the stored record, or nullptr.
  const TargetRecord* Find(const TargetId& aTarget) const;

  // Returns whether the target may get new work.
  bool IsUsable(const TargetId& aTarget) const;

  // Returns the targets that may get new work, ordered by id.
  std::vector<TargetRecord> Usable() const;

  // Returns all remembered targets, usable or not.
  std::vector<TargetRecord> All() const;

  // Calls aVisit with the record of each remembered target, without copying them.
  void ForEach(const std::function<void(const TargetRecord&)>& aVisit) const;

  // Returns the targets whose usability has changed since the last call. Unlike Usable() and All()
  // it copies no records, so it can be called often with thousands of targets.
  std::vector<TargetId> TakeUsabilityChanges();

  // Forgets targets that have been silent for long. Must be called periodically.
  void Expire();

private:
  struct Entry
  {
    TargetRecord record;
    MonotonicTime lastHeard;
    Duration silenceLimit{ 0 };
    bool silent = false;
    // The usability that TakeUsabilityChanges() returned last.
    bool reportedUsable = false;
  };

  bool IsUsable(const Entry& aEntry) const;
  void MarkOthersSilentAt(const TargetRecord& aRecord);
  void MoveAddress(const TargetId& aTarget, const Endpoint& aFrom, const Endpoint& aTo);
  void ForgetAddress(const TargetId& aTarget, const Endpoint& aAddress);

  const Clock& clock;
  Duration silenceLimit;
  std::map<TargetId, Entry> entries;
  // The remembered targets by address; keeps the cost of an announcement independent of the number
  // of targets.
  std::map<Endpoint, std::set<TargetId>> addresses;
};

} // namespace damasklink
