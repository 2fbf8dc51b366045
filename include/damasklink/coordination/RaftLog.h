// The part of a replicated log that is held in memory.
#pragma once

#include <deque>
#include <optional>
#include <vector>

#include "damasklink/state/LogEntry.h"

namespace damasklink {

// Entries after a base, and the snapshot that stands for all before.
class RaftLog
{
public:
  // Requires that the entries are contiguous and follow the snapshot.
  RaftLog(SnapshotPtr aSnapshot, std::vector<LogEntry> aEntries);

  LogIndex BaseIndex() const { return this->baseIndex; }
  LogIndex LastIndex() const;
  Term LastTerm() const;

  // Returns the term of the entry, nothing where it is not held any more or not yet.
  std::optional<Term> TermAt(LogIndex aIndex) const;

  // Requires that the entry is held.
  const LogEntry& At(LogIndex aIndex) const;

  // Returns entries from aFirst on, at least one if there is one, then up to aMostBytes.
  std::vector<LogEntry> From(LogIndex aFirst, std::size_t aMostBytes) const;

  // Appends an entry. Requires that its index is the next one.
  void Append(LogEntry aEntry);

  // Removes the entry and all after it.
  void TruncateFrom(LogIndex aIndex);

  // Takes a newer snapshot of the same log and drops entries before it, keeping aTrailing of them
  // for replicas that are a little behind.
  void Compact(SnapshotPtr aSnapshot, std::uint64_t aTrailing);

  // Replaces everything by a snapshot from another replica.
  void Reset(SnapshotPtr aSnapshot);

  const SnapshotPtr& LastSnapshot() const { return this->snapshot; }

  // Returns the newest membership in the log, committed or not, and the index of its entry.
  const Membership& NewestMembership() const { return this->memberships.back().membership; }
  LogIndex MembershipIndex() const { return this->memberships.back().index; }

  // Returns the membership as of an entry that is held or covered by the snapshot.
  const Membership& MembershipAt(LogIndex aIndex) const;

private:
  struct MembershipEntry
  {
    LogIndex index;
    Membership membership;
  };

  SnapshotPtr snapshot;
  LogIndex baseIndex;
  Term baseTerm;
  std::deque<LogEntry> entries;
  // Oldest first; never empty.
  std::vector<MembershipEntry> memberships;
};

} // namespace damasklink
