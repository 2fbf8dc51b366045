#include "damasklink/state/LogEntry.h"

#include <algorithm>

namespace damasklink {

const Member*
Membership::Find(ReplicaId aReplica) const
{
  const auto found =
    std::find_if(this->members.begin(), this->members.end(), [&](const Member& aMember) {
      return aMember.replica == aReplica;
    });
  return found == this->members.end() ? nullptr : &*found;
}

bool
Membership::IsVoter(ReplicaId aReplica) const
{
  const Member* member = this->Find(aReplica);
  return member != nullptr && member->voter;
}

std::size_t
Membership::VoterCount() const
{
  return static_cast<std::size_t>(
    std::count_if(this->members.begin(), this->members.end(), [](const Member& aMember) {
      return aMember.voter;
    }));
}

} // namespace damasklink
