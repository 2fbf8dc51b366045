#include "damasklink/coordination/MemberLagTracker.h"

#include <algorithm>
#include <utility>

namespace damasklink {

std::vector<MemberLagChange>
MemberLagTracker::Update(const RaftCore& aCore)
{
  std::vector<MemberLagChange> changes;
  const MonotonicTime now = this->clock.MonotonicNow();
  if (now < this->nextCheck) {
    return changes;
  }
  this->nextCheck = now + kCheckInterval;
  std::vector<MemberProgress> members = aCore.MembersProgress();
  std::erase_if(this->lagging, [&](const auto& aItem) {
    return std::none_of(members.begin(), members.end(), [&](const MemberProgress& aMember) {
      return aMember.member.replica == aItem.first;
    });
  });
  for (MemberProgress& member : members) {
    const auto known = this->lagging.find(member.member.replica);
    const bool lags = !member.responsive || member.missingEntries > kMaxEntries;
    if (!lags && known == this->lagging.end()) {
      continue;
    }
    MemberLagChange change;
    if (!lags) {
      change.caughtUpAfter = now - known->second.since;
      this->lagging.erase(known);
    } else if (known == this->lagging.end()) {
      this->lagging.emplace(member.member.replica, Lag{ now, now });
    } else if (now - known->second.reportedAt >= kReportInterval) {
      known->second.reportedAt = now;
    } else {
      continue;
    }
    change.missingBytes = aCore.Log().BytesAfter(member.match);
    change.progress = std::move(member);
    changes.push_back(std::move(change));
  }
  return changes;
}

} // namespace damasklink
