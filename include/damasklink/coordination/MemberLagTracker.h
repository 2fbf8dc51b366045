// Tells when members of a group begin to lag behind their leader, and when they have caught up.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "damasklink/coordination/RaftCore.h"

namespace damasklink {

struct MemberLagChange
{
  MemberProgress progress;
  // Bytes of the entries after `progress.match` that the leader still has in memory.
  std::uint64_t missingBytes = 0;
  // Set once the member has caught up: how long it lagged.
  std::optional<Duration> caughtUpAfter;
};

// Follows what a leader knows of its members.
//
//   MemberLagTracker lags(clock);
//   for (const MemberLagChange& change : lags.Update(core)) ...
//
// A replica that no longer leads forgets everything. Not thread-safe.
class MemberLagTracker
{
public:
  explicit MemberLagTracker(const Clock& aClock)
    : clock(aClock)
  {
  }

  // Returns the members that began to lag or caught up since the last call, and at most every
  // kReportInterval those that still lag.
  std::vector<MemberLagChange> Update(const RaftCore& aCore);

  // A member lags if it does not answer or lacks more committed entries than this. Entries that are
  // on their way are no lag.
  static constexpr std::uint64_t kMaxEntries = 256;
  static constexpr Duration kReportInterval = std::chrono::seconds(1);
  // Calls in between return nothing.
  static constexpr Duration kCheckInterval = std::chrono::milliseconds(100);

private:
  struct Lag
  {
    MonotonicTime since;
    MonotonicTime reportedAt;
  };

  MonotonicTime nextCheck;
  const Clock& clock;
  std::map<ReplicaId, Lag> lagging;
};

} // namespace damasklink
