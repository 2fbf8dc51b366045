// Interface between consensus and the state machines that it replicates.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "damasklink/state/Clock.h"
#include "damasklink/state/Error.h"
#include "damasklink/state/Ids.h"

namespace damasklink {

// Identifies the state machine of a group that a command is for. The numbers are stored in log
// files, so a number must never be reused.
enum class StateMachineId : std::uint8_t
{
  Groups = 1,        // Group registry, voters and incarnations.
  Configuration = 2, // The configuration tree and its change ids (control group).
  Orders = 3,        // Fencing numbers and desired states of targets (control group).
  Claims = 4,        // Idempotency keys (claims groups).
  Leases = 5,        // Owners of stores (claims groups).
  Serving = 6,       // The serving document and weight versions (control group).
};

// Returns the id of the group that all hosts with a disk form. It replicates the configuration.
GroupId
ControlGroupId();

// Returns the id of the group that the hosts with a disk in a zone form. ClaimsHomeGroup()
// (GroupPlacement.h) returns the group that is responsible for the claims and store leases of a
// zone, also for a zone without a disk.
GroupId
ClaimsGroupId(const ZoneId& aZone);

// Position and time at which a command was committed; the same on every replica.
struct ApplyContext
{
  GroupId group;
  LogIndex index;
  Term term;
  // The leader's wall clock when it appended the entry; never earlier than that of a previous
  // entry.
  WallTime proposedAt;
  // Incarnation of a claims group: 1 when it is first formed, 2 after all its disks were lost and
  // it was formed again, and so on. Zero until the control group has assigned it. Always 1 in the
  // control group.
  Incarnation incarnation = Incarnation(1);
  // When this incarnation was formed. If the incarnation is above 1, all state from before this
  // time was lost.
  WallTime formedAt;
};

// A state machine that a group replicates. Apply() must be deterministic: it must give the same
// answer and the same state on every replica, so it must not use clocks, random numbers or the
// order of hash tables.
class ReplicatedStateMachine
{
public:
  virtual ~ReplicatedStateMachine() = default;

  // Applies a committed command and returns its answer.
  virtual std::string Apply(const ApplyContext& aContext, std::string_view aCommand) = 0;

  // Returns the whole state, encoded for a snapshot.
  virtual std::string Save() const = 0;

  // Replaces the whole state. Fails with Corrupt, in which case the state is unchanged.
  virtual Result<void> Load(std::string_view aSnapshot) = 0;
};

// Receives the answer of the state machine or the error. NotLeader and Unavailable mean that the
// command was not applied. DeadlineExceeded means that it may have been applied; it is safe to send
// the same command again, because state machines detect repeated commands by the id in them.
using ProposalDone = std::function<void(Result<std::string>)>;

// State of a group as one host knows it.
struct GroupStatus
{
  GroupId group;
  Term term;
  // Empty if unknown.
  HostId leader;
  bool leading = false;
  // Whether this host may act as leader now: it leads, and a quorum answered within its lease.
  bool leaseHeld = false;
  LogIndex committed;
};

// Submits commands to groups. Must be used on the control thread only; aDone is called on that
// thread, possibly before Propose() returns.
class Replicator
{
public:
  virtual ~Replicator() = default;

  // Adds a state machine to the group's replica on this host. Must be called before the control
  // thread starts. The machine must outlive the replicator. Does nothing on a host without a
  // replica of the group.
  virtual void AddMachine(const GroupId& aGroup,
                          StateMachineId aMachineId,
                          ReplicatedStateMachine& aMachine) = 0;

  // Submits a command, forwarding it to the group's leader. Can be called on any host.
  virtual void Propose(const GroupId& aGroup,
                       StateMachineId aMachineId,
                       std::string aCommand,
                       Duration aTimeout,
                       ProposalDone aDone) = 0;

  virtual GroupStatus Status(const GroupId& aGroup) const = 0;
};

} // namespace damasklink
