// What a replicated log holds: entries, votes, memberships and snapshots, as they go to disk.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "damasklink/state/Clock.h"
#include "damasklink/state/Ids.h"

namespace damasklink {

// Names one life of a data folder. Random, never zero: a host with an emptied folder is another
// replica, so that it never votes as what it was.
using ReplicaId = NumberId<struct ReplicaIdTag>;

// Names one founding of a group. Random; zero while the group was never formed.
using FormationId = NumberId<struct FormationIdTag>;

// One replica of a group. A learner receives the log but counts in no quorum.
struct Member
{
  HostId host;
  ReplicaId replica;
  bool voter = false;

  bool operator==(const Member&) const = default;
};

// All replicas of a group, in the order in which they were added.
struct Membership
{
  std::vector<Member> members;

  bool operator==(const Membership&) const = default;

  // Returns the member with this identity, or null.
  const Member* Find(ReplicaId aReplica) const;

  bool IsVoter(ReplicaId aReplica) const;
  std::size_t VoterCount() const;
};

// Names a command where it was first handed in, so that copies of it are applied once.
struct ProposalId
{
  // Random for each process; zero for entries that the group makes itself.
  std::uint64_t proposer = 0;
  // Counts the commands of the proposer in this group.
  Sequence sequence;
  // The proposer asks for no answer below this one any more.
  Sequence floor;

  bool operator==(const ProposalId&) const = default;
};

enum class EntryKind : std::uint8_t
{
  NoOp = 1,       // A new leader's first entry.
  Command = 2,    // For a machine.
  Membership = 3, // In force as soon as it stands in the log.
};

struct LogEntry
{
  LogIndex index;
  Term term;
  EntryKind kind = EntryKind::NoOp;
  // Never lower than that of an earlier entry.
  WallTime proposedAt;
  // Which machine; the numbers are those of StateMachineId.
  std::uint8_t part = 0;
  ProposalId proposal;
  std::string command;
  Membership membership;

  bool operator==(const LogEntry&) const = default;
};

// What a replica must not forget besides its log.
struct HardState
{
  FormationId formation;
  Term term;
  ReplicaId votedFor;

  bool operator==(const HardState&) const = default;
};

// The state of a group up to and with one entry.
struct Snapshot
{
  LogIndex index;
  Term term;
  WallTime proposedAt;
  Membership membership;
  // The machines' state.
  std::string data;

  bool operator==(const Snapshot&) const = default;
};

using SnapshotPtr = std::shared_ptr<const Snapshot>;

// One step of writing: all of it is on disk before anything that depends on it leaves the host.
struct PersistBatch
{
  // Counts from 1 within the life of a replica object.
  std::uint64_t number = 0;
  std::optional<HardState> hardState;
  // Set when the log before the entries is replaced by this snapshot or starts after it.
  SnapshotPtr snapshot;
  // Whether the snapshot came from another replica, so that older entries are void.
  bool replacesLog = false;
  // The first one's index cuts off all entries from there on.
  std::vector<LogEntry> entries;
};

// What a replica finds on its disk when it starts.
struct RecoveredLog
{
  HardState hardState;
  // Null when there is none.
  SnapshotPtr snapshot;
  // Contiguous, from the one after the snapshot.
  std::vector<LogEntry> entries;
};

} // namespace damasklink
