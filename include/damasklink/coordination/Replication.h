// The seam between agreement and the state that it replicates.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "damasklink/state/Clock.h"
#include "damasklink/state/Error.h"
#include "damasklink/state/Ids.h"

namespace damasklink {

// Which machine of a group a command is for. The numbers stand in log files: never reuse one.
enum class StateMachineId : std::uint8_t
{
  Groups = 1,        // Membership of groups: the catalogue, voters, incarnations.
  Configuration = 2, // The tree and its change ids (control group).
  Orders = 3,        // Fencing numbers and wished ends of targets (control group).
  Claims = 4,        // Idempotency keys (claims groups).
  Leases = 5,        // Owners of stores (claims groups).
  Serving = 6,       // The serving document and the named weights (control group).
};

// The group that holds the configuration.
GroupId
ControlGroupId();

// Returns the group of the disks of a zone. ClaimsHomeGroup() (GroupPlacement.h) says which group
// homes the claims and store leases of a zone, also of one without a disk.
GroupId
ClaimsGroupId(const ZoneId& aZone);

// Where and when a command was committed; the same on every replica.
struct ApplyContext
{
  GroupId group;
  LogIndex index;
  Term term;
  // The leader's wall clock when it proposed, never lower than that of an earlier entry.
  WallTime proposedAt;
  // Which founding of a claims group this is: 1 for the first, 2 after all its disks were lost
  // once, and so on; zero until the control group has told. Always 1 in the control group.
  Incarnation incarnation = Incarnation(1);
  // What came before this time was lost when the incarnation is above 1.
  WallTime formedAt;
};

// State that a group replicates. Apply() must give the same answer and state on every replica:
// no clock, no randomness, no order of hash tables.
class ReplicatedStateMachine
{
public:
  virtual ~ReplicatedStateMachine() = default;

  // Applies a committed command and returns its answer.
  virtual std::string Apply(const ApplyContext& aContext, std::string_view aCommand) = 0;

  // Returns the whole state for a snapshot.
  virtual std::string Save() const = 0;

  // Replaces the whole state. Fails with Corrupt and then leaves the state as it was.
  virtual Result<void> Load(std::string_view aSnapshot) = 0;
};

// The answer of the machine, or why there is none. NotLeader and Unavailable: surely not applied.
// DeadlineExceeded: it may have been applied; send the same command again, machines know repeats
// by the id inside it.
using ProposalDone = std::function<void(Result<std::string>)>;

// What one host knows of a group.
struct GroupStatus
{
  GroupId group;
  Term term;
  // Empty while unknown.
  HostId leader;
  bool leading = false;
  // Whether this host may act as leader now: it leads and heard a quorum within its lease.
  bool leaseHeld = false;
  LogIndex committed;
};

// Puts commands through groups. On the control thread only; aDone comes there, maybe at once.
class Replicator
{
public:
  virtual ~Replicator() = default;

  // Makes a machine part of the group's replica on this host. Requires to be called before the
  // control thread starts; the machine must outlive the replicator. Does nothing on a host that
  // holds no replica of the group.
  virtual void AddMachine(const GroupId& aGroup,
                          StateMachineId aPart,
                          ReplicatedStateMachine& aMachine) = 0;

  // Commits a command on any host of the system, passing it on to the group's leader.
  virtual void Propose(const GroupId& aGroup,
                       StateMachineId aPart,
                       std::string aCommand,
                       Duration aTimeout,
                       ProposalDone aDone) = 0;

  virtual GroupStatus Status(const GroupId& aGroup) const = 0;
};

} // namespace damasklink
