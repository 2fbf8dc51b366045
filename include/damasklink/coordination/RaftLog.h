// The in-memory part of a replicated log.
#pragma once

#include <deque>
#include <optional>
#include <vector>

#include "damasklink/state/LogEntry.h"

namespace damasklink {

// Holds the entries after a base index and the latest snapshot, which covers all entries up to the
// base. Not thread-safe.
class RaftLog
{
public:
  // Requires that the entries are contiguous and follow the snapshot. aSnapshot may be null.
  RaftLog(SnapshotPtr aSnapshot, std::vector<LogEntry> aEntries);

  LogIndex BaseIndex() const { return this->baseIndex; }
  LogIndex LastIndex() const;
  Term LastTerm() const;

  // Returns the term of the entry, or nothing if the entry is not in memory.
  std::optional<Term> TermAt(LogIndex aIndex) const;

  // Requires that the entry is in memory.
  const LogEntry& At(LogIndex aIndex) const;

  // Returns the entries from aFirst on whose commands take at most aMaxBytes together, but at
  // least one entry if there is any.
  std::vector<LogEntry> From(LogIndex aFirst, std::size_t aMaxBytes) const;

  // Returns the bytes of the commands of all entries in memory, or of those after aIndex.
  std::uint64_t Bytes() const { return this->bytes; }
  std::uint64_t BytesAfter(LogIndex aIndex) const;

  // Appends an entry. Requires that its index is the next one.
  void Append(LogEntry aEntry);

  // Removes the entry and all later ones.
  void TruncateFrom(LogIndex aIndex);

  // Replaces the snapshot by a newer one of the same log and drops the entries that it covers,
  // except the last of them, which are kept for replicas that lag slightly behind: at most
  // aMaxTrailing entries, whose commands take at most aMaxTrailingBytes together.
  void Compact(SnapshotPtr aSnapshot, std::uint64_t aMaxTrailing, std::uint64_t aMaxTrailingBytes);

  // Replaces the whole log by a snapshot from another replica.
  void Reset(SnapshotPtr aSnapshot);

  const SnapshotPtr& LastSnapshot() const { return this->snapshot; }

  // Returns the latest membership in the log, committed or not, and the index of its entry.
  const Membership& NewestMembership() const { return this->memberships.back().membership; }
  LogIndex MembershipIndex() const { return this->memberships.back().index; }

  // Returns the membership in force at an entry that is in memory or covered by the snapshot.
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
  // Bytes of their commands.
  std::uint64_t bytes = 0;
  // Oldest first; never empty.
  std::vector<MembershipEntry> memberships;
};

} // namespace damasklink
