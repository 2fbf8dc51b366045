// Decides, on the leader, how a group's membership is changed to follow its hosts.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "damasklink/coordination/RaftCore.h"

namespace damasklink {

// Proposes one membership change at a time.
//
// A host that lost its disk returns as a new replica. That replica is added as a learner. Once it
// has caught up, the host's former replica is removed and the new one becomes a voter. A host that
// does not answer and is no longer listed in the settings is removed too.
//
// If hosts are discovered rather than listed, each host that asks to join becomes a learner.
// Learners become voters in pairs up to a maximum number of voters, or one at a time to replace a
// voter that does not answer, which is removed once its successor votes. So the number of voters
// stays odd, and a group whose host is replaced by one at another address tolerates as many
// failures as before.
//
// Not thread-safe.
class MembershipRepair
{
public:
  MembershipRepair(const Clock& aClock, std::vector<HostId> aListedVoters)
    : clock(aClock)
    , listed(std::move(aListedVoters))
  {
  }

  // Accepts any host that asks to join, with at most aMaxVoters voters, which must be odd.
  void EnableDiscovery(std::size_t aMaxVoters) { this->maxVoters = aMaxVoters; }

  // Records that a replica asks to join, also on a host that does not lead: it may be elected next.
  // Ignores hosts that are not listed, unless discovery is enabled. A replica must ask again every
  // kJoinInterval until it hears a leader, since requests expire.
  void OnJoinRequest(const HostId& aHost, ReplicaId aReplica);

  // Returns the membership to propose next, or nothing if no change is needed.
  std::optional<Membership> Next(const RaftCore& aCore);

  static constexpr Duration kJoinInterval = std::chrono::seconds(1);

private:
  struct Joining
  {
    ReplicaId replica;
    MonotonicTime askedAt;
  };

  bool IsListed(const HostId& aHost) const;
  bool MayAddVoter(const Membership& aNow, const RaftCore& aCore) const;
  std::optional<Membership> RemoveRetired(const Membership& aNow, const RaftCore& aCore) const;
  std::optional<Membership> Promote(const Membership& aNow, const RaftCore& aCore) const;
  std::optional<Membership> RemoveReplaced(const Membership& aNow, const RaftCore& aCore) const;
  std::optional<Membership> AddLearner(const Membership& aNow);

  const Clock& clock;
  std::vector<HostId> listed;
  // Set if hosts are discovered rather than listed.
  std::optional<std::size_t> maxVoters;
  std::map<HostId, Joining> joining;
};

} // namespace damasklink
