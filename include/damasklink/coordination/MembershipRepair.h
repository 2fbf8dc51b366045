// Decides, on the leader, how the membership follows the hosts: who joins, who is swapped in.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "damasklink/coordination/RaftCore.h"

namespace damasklink {

// A host whose disk was lost comes back as another replica: it is taken in as a learner, becomes a
// voter once caught up, and then the replica that it was is removed. Each is one step of its own.
// A silent host that the settings do not list any more is removed too.
class MembershipRepair
{
public:
  explicit MembershipRepair(std::vector<HostId> aListedVoters)
    : listed(std::move(aListedVoters))
  {
  }

  // Notes that a replica asks to be taken in; hosts that are not listed are ignored.
  void NoteJoin(const HostId& aHost, ReplicaId aReplica);

  // Returns the membership to propose next, nothing while all is as it should be.
  std::optional<Membership> Next(const RaftCore& aCore);

private:
  bool IsListed(const HostId& aHost) const;
  std::optional<Membership> RemoveRetired(const Membership& aNow, const RaftCore& aCore) const;
  std::optional<Membership> Promote(const Membership& aNow, const RaftCore& aCore) const;
  std::optional<Membership> RemoveReplaced(const Membership& aNow) const;
  std::optional<Membership> AddLearner(const Membership& aNow);

  std::vector<HostId> listed;
  std::map<HostId, ReplicaId> joining;
};

} // namespace damasklink
