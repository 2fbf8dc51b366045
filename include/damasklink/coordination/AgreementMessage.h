// What the replicas and proposers of replicated groups say to each other.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "damasklink/state/LogEntry.h"

namespace damasklink {

// Asks whether a vote would be granted; changes nothing at the voter.
struct PreVoteRequest
{
  Term candidateTerm;
  LogIndex lastIndex;
  Term lastTerm;

  bool operator==(const PreVoteRequest&) const = default;
};

struct PreVoteAnswer
{
  Term candidateTerm;
  bool granted = false;
  // Nothing speaks against the vote but that the voter has started lately: in the candidate's term
  // it has neither led, nor stood for election, nor heard a leader since. Or it is gone with its
  // disk, and the replica that started in its place says so for it.
  bool leaderless = false;

  bool operator==(const PreVoteAnswer&) const = default;
};

struct VoteRequest
{
  LogIndex lastIndex;
  Term lastTerm;
  // The leader itself asked for this election and has given up its lease.
  bool handover = false;
  // All voters have said that they are leaderless since they started, so that no lease can stand.
  bool allLeaderless = false;

  bool operator==(const VoteRequest&) const = default;
};

struct VoteAnswer
{
  bool granted = false;

  bool operator==(const VoteAnswer&) const = default;
};

// Entries after a place, or none as a heartbeat.
struct AppendRequest
{
  LogIndex previousIndex;
  Term previousTerm;
  LogIndex committed;
  // The leader's monotonic clock in nanoseconds; means nothing to others, who send it back.
  std::uint64_t sentAt = 0;
  std::vector<LogEntry> entries;

  bool operator==(const AppendRequest&) const = default;
};

struct AppendAnswer
{
  bool accepted = false;
  // Accepted: up to where the logs are equal and synced. Refused: where to try next.
  LogIndex index;
  // The place of the request that this answers.
  LogIndex previousIndex;
  std::uint64_t sentAt = 0;

  bool operator==(const AppendAnswer&) const = default;
};

// A part of an encoded snapshot.
struct SnapshotPiece
{
  LogIndex index;
  Term snapshotTerm;
  std::uint64_t offset = 0;
  std::uint64_t totalBytes = 0;
  std::uint64_t sentAt = 0;
  std::string bytes;

  bool operator==(const SnapshotPiece&) const = default;
};

// Asks for the piece that begins at the offset.
struct SnapshotAnswer
{
  LogIndex index;
  std::uint64_t nextOffset = 0;
  std::uint64_t sentAt = 0;

  bool operator==(const SnapshotAnswer&) const = default;
};

// Tells a voter to call an election at once, because the leader is leaving.
struct TimeoutNow
{
  bool operator==(const TimeoutNow&) const = default;
};

// Asks a listed voter whether the group was ever formed.
struct FormationQuery
{
  std::uint64_t nonce = 0;
  // What the asker would found.
  FormationId proposed;

  bool operator==(const FormationQuery&) const = default;
};

struct FormationAnswer
{
  std::uint64_t nonce = 0;
  // Zero: never formed here.
  FormationId formed;

  bool operator==(const FormationAnswer&) const = default;
};

// Asks the leader to take the sender into the group.
struct JoinRequest
{
  bool operator==(const JoinRequest&) const = default;
};

// A command on its way to the leader.
struct ForwardedProposal
{
  // Counts all sendings of the proposer's process; a lower one than the last is an old copy.
  Sequence attempt;
  std::uint8_t part = 0;
  ProposalId proposal;
  std::string command;

  bool operator==(const ForwardedProposal&) const = default;
};

struct ProposalAnswer
{
  ProposalId proposal;
  std::string answer;

  bool operator==(const ProposalAnswer&) const = default;
};

// The sender did not take the proposal and never will take this attempt.
struct ProposalRefusal
{
  ProposalId proposal;
  Sequence attempt;
  // Empty while unknown.
  HostId leader;

  bool operator==(const ProposalRefusal&) const = default;
};

using AgreementBody = std::variant<PreVoteRequest,
                                   PreVoteAnswer,
                                   VoteRequest,
                                   VoteAnswer,
                                   AppendRequest,
                                   AppendAnswer,
                                   SnapshotPiece,
                                   SnapshotAnswer,
                                   TimeoutNow,
                                   FormationQuery,
                                   FormationAnswer,
                                   JoinRequest,
                                   ForwardedProposal,
                                   ProposalAnswer,
                                   ProposalRefusal>;

struct AgreementMessage
{
  GroupId group;
  // Zero where the sender holds no formed replica.
  FormationId formation;
  HostId fromHost;
  HostId toHost;
  // Zero from a host that holds no replica.
  ReplicaId from;
  // Zero: whichever replica the host holds.
  ReplicaId to;
  Term term;
  AgreementBody body;

  bool operator==(const AgreementMessage&) const = default;
};

} // namespace damasklink
