#include "damasklink/coordination/ServiceLevelWindows.h"

namespace damasklink {
namespace {

// Buckets in the longest window, including the one that is being filled.
constexpr std::size_t kBuckets =
  static_cast<std::size_t>(kBurnWindows.back() / ServiceLevelWindows::kBucket);

} // namespace

ServiceLevelWindows::ServiceLevelWindows(const Clock& aClock, std::size_t aMaxWorkspaces)
  : clock(aClock)
  , maxWorkspaces(aMaxWorkspaces)
{
}

void
ServiceLevelWindows::Count(const WorkspaceId& aWorkspace, bool aGood)
{
  const std::uint64_t now = this->BucketNow();
  absl::MutexLock lock(&this->mutex);
  auto ring = this->rings.find(aWorkspace);
  if (ring == this->rings.end()) {
    const bool full = this->rings.size() >= this->maxWorkspaces;
    const WorkspaceId name = full ? WorkspaceId(kOtherSeries) : aWorkspace;
    ring = this->rings.try_emplace(name, Ring(kBuckets)).first;
  }
  Bucket& bucket = ring->second.at(now % kBuckets);
  if (bucket.number != now) {
    bucket = Bucket{ now, 0, 0 };
  }
  bucket.good += aGood ? 1 : 0;
  bucket.total += 1;
}

std::map<WorkspaceId, WindowCounts>
ServiceLevelWindows::Counts() const
{
  const std::uint64_t now = this->BucketNow();
  std::map<WorkspaceId, WindowCounts> counts;
  absl::MutexLock lock(&this->mutex);
  for (const auto& [workspace, ring] : this->rings) {
    WindowCounts& windows = counts[workspace];
    for (const Bucket& bucket : ring) {
      for (std::size_t index = 0; index < kBurnWindows.size(); ++index) {
        const auto length = static_cast<std::uint64_t>(kBurnWindows.at(index) / kBucket);
        if (bucket.number + length > now) {
          windows.at(index).good += bucket.good;
          windows.at(index).total += bucket.total;
        }
      }
    }
  }
  return counts;
}

std::uint64_t
ServiceLevelWindows::BucketNow() const
{
  return static_cast<std::uint64_t>(this->clock.MonotonicNow().time_since_epoch() / kBucket);
}

} // namespace damasklink
