// Logs what changes in one group: its leader, members and those that lag.
#pragma once

#include <optional>

#include "damasklink/coordination/GroupReplica.h"
#include "damasklink/coordination/MemberLagTracker.h"
#include "damasklink/state/Metrics.h"

namespace damasklink {

// Belongs to one replica; the references must outlive it.
class GroupEventLog
{
public:
  GroupEventLog(const Clock& aClock, Metrics& aMetrics, const GroupReplica& aReplica)
    : clock(aClock)
    , metrics(aMetrics)
    , replica(aReplica)
    , lags(aClock)
    , leaderSeenAt(aClock.MonotonicNow())
  {
  }

  // Logs what has changed since the last call.
  void Update(const GroupId& aGroup);

private:
  void LogLeader(const GroupId& aGroup);
  void LogLags(const GroupId& aGroup);

  const Clock& clock;
  Metrics& metrics;
  const GroupReplica& replica;
  MemberLagTracker lags;
  bool failureLogged = false;
  bool wasLeading = false;
  Membership membership;
  MonotonicTime leaderSeenAt;
  // When the replica was last reported to be without a leader; not set while it has one.
  std::optional<MonotonicTime> leaderlessLoggedAt;
};

} // namespace damasklink
