// Counts requests against service-level objectives over 5 minutes, 1 hour and 6 hours.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <vector>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include "damasklink/state/Clock.h"
#include "damasklink/state/MetricsRegistry.h"

namespace damasklink {

// The windows of the burn report, shortest first.
constexpr std::array<Duration, 3> kBurnWindows{ std::chrono::minutes(5),
                                                std::chrono::hours(1),
                                                std::chrono::hours(6) };

// Counts of one workspace in each of kBurnWindows.
using WindowCounts = std::array<ServiceLevelCount, kBurnWindows.size()>;

// Keeps counts in buckets of kBucket, so a window ends up to one bucket early.
//
//   ServiceLevelWindows windows(clock, kMostMetricSeries);
//   windows.Count(workspace, true);
//   windows.Counts();
//
// Holds at most aMostWorkspaces, of 6 KB each; later ones are counted under kOtherSeries. Safe from
// any thread.
class ServiceLevelWindows final : public ServiceLevelSink
{
public:
  static constexpr Duration kBucket = std::chrono::seconds(30);

  ServiceLevelWindows(const Clock& aClock, std::size_t aMostWorkspaces);

  void Count(const WorkspaceId& aWorkspace, bool aGood) override;

  // Returns the counts of every workspace that was ever counted.
  std::map<WorkspaceId, WindowCounts> Counts() const;

private:
  struct Bucket
  {
    // Which bucket of time the counts belong to; older ones are stale.
    std::uint64_t number = 0;
    std::uint32_t good = 0;
    std::uint32_t total = 0;
  };
  using Ring = std::vector<Bucket>;

  std::uint64_t BucketNow() const;

  const Clock& clock;
  std::size_t mostWorkspaces;
  mutable absl::Mutex mutex;
  std::map<WorkspaceId, Ring> rings ABSL_GUARDED_BY(mutex);
};

} // namespace damasklink
