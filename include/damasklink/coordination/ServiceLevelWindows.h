// Counts good and total requests of workspaces over 5 minutes, 1 hour and 6 hours.
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

// The counts of one workspace in each of kBurnWindows.
using WindowCounts = std::array<ServiceLevelCount, kBurnWindows.size()>;

// Keeps counts in buckets of kBucket, so a window is up to one bucket shorter than its length.
//
//   ServiceLevelWindows windows(clock, kMostMetricSeries);
//   windows.Count(workspace, true);
//   windows.Counts();
//
// Keeps at most aMaxWorkspaces workspaces, at 6 KB each; later ones are counted under kOtherSeries.
// Thread-safe.
class ServiceLevelWindows final : public ServiceLevelSink
{
public:
  static constexpr Duration kBucket = std::chrono::seconds(30);

  ServiceLevelWindows(const Clock& aClock, std::size_t aMaxWorkspaces);

  void Count(const WorkspaceId& aWorkspace, bool aGood) override;

  // Returns the counts of every workspace that was counted since the start.
  std::map<WorkspaceId, WindowCounts> Counts() const;

private:
  struct Bucket
  {
    // Number of the time interval that the counts belong to. The bucket is outdated when its
    // interval has left all windows.
    std::uint64_t number = 0;
    std::uint32_t good = 0;
    std::uint32_t total = 0;
  };
  using Ring = std::vector<Bucket>;

  std::uint64_t BucketNow() const;

  const Clock& clock;
  std::size_t maxWorkspaces;
  mutable absl::Mutex mutex;
  std::map<WorkspaceId, Ring> rings ABSL_GUARDED_BY(mutex);
};

} // namespace damasklink
