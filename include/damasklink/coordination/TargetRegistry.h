// The targets that announced themselves, merged from any host in any order.
#pragma once

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
// A record replaces the one held only when its (incarnation, sequence) is higher. "Leaving" sticks
// for an incarnation. A target not heard of for the silence limit is not usable; it is kept for a
// while so that a late announcement of an older incarnation cannot revive it. An address has one
// target, the one that announced itself from it last: a target that crashed says nothing, and its
// successor may have its address. Not thread-safe.
class TargetRegistry
{
public:
  TargetRegistry(const Clock& aClock, Duration aSilence);

  // Takes an announcement, heard just now. Returns whether it was news that peers should hear.
  bool Merge(const TargetRecord& aRecord);

  // As above, for a target that may be silent for aSilence.
  bool Merge(const TargetRecord& aRecord, Duration aSilence);

  // Takes a sign of life of the incarnation that is held. Returns false, and does nothing, when
  // another one is held or the target is unknown.
  bool Refresh(const TargetId& aTarget,
               Incarnation aIncarnation,
               Sequence aSequence,
               const TargetLoad& aLoad);

  // Takes the word of the host that the target announces itself to: silent since aSequence. Does
  // nothing when a later announcement is held.
  void MarkSilent(const TargetId& aTarget, Incarnation aIncarnation, Sequence aSequence);

  // Returns the record that is held, or nullptr.
  const TargetRecord* Find(const TargetId& aTarget) const;

  // Returns whether the target may get new work.
  bool IsUsable(const TargetId& aTarget) const;

  // Returns the targets that may get new work, ordered by id.
  std::vector<TargetRecord> Usable() const;

  // Returns every target that is remembered, usable or not.
  std::vector<TargetRecord> All() const;

  // Returns the targets that may get new work now and could not at the last call, or the other way
  // round. Unlike the others it copies no records, so it may be called often among thousands.
  std::vector<TargetId> TakeUsabilityChanges();

  // Forgets targets that have been silent for long. Requires to be called now and then.
  void Expire();

private:
  struct Entry
  {
    TargetRecord record;
    MonotonicTime heard;
    Duration silence{ 0 };
    bool silent = false;
    // What TakeUsabilityChanges() told of it last.
    bool reportedUsable = false;
  };

  bool IsUsable(const Entry& aEntry) const;
  void MarkOthersSilentAt(const TargetRecord& aRecord);
  void MoveAddress(const TargetId& aTarget, const Endpoint& aFrom, const Endpoint& aTo);
  void ForgetAddress(const TargetId& aTarget, const Endpoint& aAddress);

  const Clock& clock;
  Duration silence;
  std::map<TargetId, Entry> entries;
  // Who is remembered at an address, so that an announcement costs the same among any number.
  std::map<Endpoint, std::set<TargetId>> addresses;
};

} // namespace damasklink
