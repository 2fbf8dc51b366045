// Which founding of a claims group this is, agreed on by the control group.
//
// A claims group whose disks were all lost is founded anew by its hosts. The catalogue in the
// control group numbers the foundings, so that the new group knows that keys may have been claimed
// before its time; the group keeps its number in its own log.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "damasklink/coordination/Replication.h"
#include "damasklink/state/LogEntry.h"

namespace damasklink {

// One founding of a group. A zero incarnation is not known yet, or was superseded by another.
struct GroupIncarnation
{
  Incarnation incarnation;
  WallTime formedAt;

  bool operator==(const GroupIncarnation&) const = default;
};

std::string
EncodeGroupIncarnation(const GroupIncarnation& aFounding);
Result<GroupIncarnation>
DecodeGroupIncarnation(std::string_view aBytes);

// Returns the command by which a group's leader makes its formation known to the control group.
std::string
EncodeRegistration(const GroupId& aGroup, FormationId aFormation);

// Machine of the control group: the foundings of all groups. Answers a registration with the
// group's GroupIncarnation, the same one each time; a formation that another has superseded gets
// zero.
class GroupRegistry final : public ReplicatedStateMachine
{
public:
  std::string Apply(const ApplyContext& aContext, std::string_view aCommand) override;
  std::string Save() const override;
  Result<void> Load(std::string_view aSnapshot) override;

  // Returns the newest founding of a group, a zero one when none is known.
  GroupIncarnation Newest(const GroupId& aGroup) const;

private:
  struct Record
  {
    FormationId formation;
    GroupIncarnation founding;
  };

  // Oldest first.
  std::map<GroupId, std::vector<Record>> groups;
};

// Machine of a claims group: takes its own GroupIncarnation as a command, once.
class IncarnationMachine final : public ReplicatedStateMachine
{
public:
  std::string Apply(const ApplyContext& aContext, std::string_view aCommand) override;
  std::string Save() const override;
  Result<void> Load(std::string_view aSnapshot) override;

  const GroupIncarnation& Current() const { return this->founding; }

private:
  GroupIncarnation founding;
};

} // namespace damasklink
