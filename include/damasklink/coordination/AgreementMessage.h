// Messages between the replicas of a replicated group and the hosts that send proposals to it.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "damasklink/state/LogEntry.h"

namespace damasklink {

// Asks whether the receiver would vote for the sender. Changes no state at the receiver.
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
  // Whether the voter knows of no leader since it started: in the candidate's term it has not led,
  // stood for election or heard a leader, and the candidate's log is recent enough for its vote.
  // Also set when the replica was lost with its disk; the replica that replaced it then answers on
  // its behalf.
  bool leaderless = false;

  bool operator==(const PreVoteAnswer&) const = default;
};

struct VoteRequest
{
  LogIndex lastIndex;
  Term lastTerm;
  // Whether the leader asked for this election and has given up its lease.
  bool handover = false;
  // Whether all voters reported that they have been leaderless since they started, so that no lease
  // can be in force.
  bool allLeaderless = false;

  bool operator==(const VoteRequest&) const = default;
};

struct VoteAnswer
{
  bool granted = false;

  bool operator==(const VoteAnswer&) const = default;
};

// Entries that follow previousIndex. Without entries it is a heartbeat.
struct AppendRequest
{
  LogIndex previousIndex;
  Term previousTerm;
  LogIndex committed;
  // The leader's monotonic clock in nanoseconds. Receivers do not interpret it but send it back.
  std::uint64_t sentAt = 0;
  std::vector<LogEntry> entries;

  bool operator==(const AppendRequest&) const = default;
};

struct AppendAnswer
{
  bool accepted = false;
  // If accepted, the index up to which both logs are equal and synced. If refused, the index from
  // which the leader should retry.
  LogIndex index;
  // The previousIndex of the request that this answers.
  LogIndex previousIndex;
  std::uint64_t sentAt = 0;

  bool operator==(const AppendAnswer&) const = default;
};

// One piece of an encoded snapshot.
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

// Requests the piece that begins at nextOffset.
struct SnapshotAnswer
{
  LogIndex index;
  std::uint64_t nextOffset = 0;
  std::uint64_t sentAt = 0;

  bool operator==(const SnapshotAnswer&) const = default;
};

// Tells a voter to start an election at once, because the leader transfers its leadership.
struct TimeoutNow
{
  bool operator==(const TimeoutNow&) const = default;
};

// Asks a host whether the group was ever formed.
struct FormationQuery
{
  std::uint64_t nonce = 0;
  // The formation under which the sender would form the group; zero if it would not form it.
  FormationId proposed;

  bool operator==(const FormationQuery&) const = default;
};

struct FormationAnswer
{
  std::uint64_t nonce = 0;
  // Zero if the group was never formed as far as the sender knows.
  FormationId formed;

  bool operator==(const FormationAnswer&) const = default;
};

// Asks the leader to add the sender to the group.
struct JoinRequest
{
  bool operator==(const JoinRequest&) const = default;
};

// A command that a proposer sends to the leader.
struct ForwardedProposal
{
  // Number of this attempt, counted over all attempts of the proposer's process. A receiver drops
  // an attempt that is not higher than the last one it saw, since it is a late duplicate.
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

// The sender did not accept this attempt and never will.
struct ProposalRefusal
{
  ProposalId proposal;
  Sequence attempt;
  // Empty if the sender knows no leader.
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
  // Zero if the sender holds no replica of a formed group.
  FormationId formation;
  HostId fromHost;
  HostId toHost;
  // Zero if the sending host holds no replica.
  ReplicaId from;
  // Zero addresses whichever replica the receiving host holds.
  ReplicaId to;
  Term term;
  AgreementBody body;
  // Whether it may overtake what the sender sent before. Not sent along.
  bool independent = false;

  bool operator==(const AgreementMessage&) const = default;
};

} // namespace damasklink
