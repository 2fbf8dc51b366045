// Incarnations of claims groups, numbered by the control group.
//
// If all disks of a claims group are lost, its hosts form the group again. The registry in the
// control group numbers these incarnations, so that the new group knows that keys may have been
// claimed before it was formed. The group stores its incarnation in its own log.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "damasklink/coordination/Replication.h"
#include "damasklink/state/LogEntry.h"

namespace damasklink {

// One incarnation of a group. Zero means that it is unknown or was superseded.
struct GroupIncarnation
{
  Incarnation incarnation;
  WallTime formedAt;

  bool operator==(const GroupIncarnation&) const = default;
};

std::string
EncodeGroupIncarnation(const GroupIncarnation& aIncarnation);
Result<GroupIncarnation>
DecodeGroupIncarnation(std::string_view aBytes);

// Returns the command with which the leader of a group registers the group's formation at the
// control group.
std::string
EncodeRegistration(const GroupId& aGroup, FormationId aFormation);

// State machine of the control group: the incarnations of all groups. Answers the registration of a
// formation with its GroupIncarnation, always the same one; answers with zero for a superseded
// formation.
class GroupRegistry final : public ReplicatedStateMachine
{
public:
  std::string Apply(const ApplyContext& aContext, std::string_view aCommand) override;
  std::string Save() const override;
  Result<void> Load(std::string_view aSnapshot) override;

  // Returns the latest incarnation of a group, or zero if none is known.
  GroupIncarnation Newest(const GroupId& aGroup) const;

private:
  struct Record
  {
    FormationId formation;
    GroupIncarnation incarnation;
  };

  // Oldest first.
  std::map<GroupId, std::vector<Record>> groups;
};

// State machine of a claims group: stores the group's own incarnation. The first command sets it,
// and later ones change nothing.
class IncarnationMachine final : public ReplicatedStateMachine
{
public:
  std::string Apply(const ApplyContext& aContext, std::string_view aCommand) override;
  std::string Save() const override;
  Result<void> Load(std::string_view aSnapshot) override;

  const GroupIncarnation& Current() const { return this->current; }

private:
  GroupIncarnation current;
};

} // namespace damasklink
