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
//
// Where hosts are learnt, no list says who votes: each host that asks becomes a learner. Learners
// become voters in pairs up to a number of voters, and one alone in place of a silent voter, which
// is removed once its successor votes. So the number of voters stays odd, and a host that is
// replaced at another address leaves the group as strong as it was.
class MembershipRepair
{
public:
  explicit MembershipRepair(std::vector<HostId> aListedVoters)
    : listed(std::move(aListedVoters))
  {
  }

  // Makes the repair one for hosts that are learnt. Requires that aMaxVoters is odd.
  void EnableDiscovery(std::size_t aMaxVoters) { this->maxVoters = aMaxVoters; }

  // Notes that a replica asks to be taken in; hosts that are neither listed nor learnt are ignored.
  void OnJoinRequest(const HostId& aHost, ReplicaId aReplica);

  // Returns the membership to propose next, nothing while all is as it should be.
  std::optional<Membership> Next(const RaftCore& aCore);

private:
  bool IsListed(const HostId& aHost) const;
  bool MayAddVoter(const Membership& aNow, const RaftCore& aCore) const;
  std::optional<Membership> RemoveRetired(const Membership& aNow, const RaftCore& aCore) const;
  std::optional<Membership> Promote(const Membership& aNow, const RaftCore& aCore) const;
  std::optional<Membership> RemoveReplaced(const Membership& aNow) const;
  std::optional<Membership> AddLearner(const Membership& aNow);

  std::vector<HostId> listed;
  // Set where hosts are learnt.
  std::optional<std::size_t> maxVoters;
  std::map<HostId, ReplicaId> joining;
};

} // namespace damasklink
