// Immutable snapshot of the control state for the traffic threads.
#pragma once

#include <memory>
#include <vector>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include "damasklink/coordination/Target.h"
#include "damasklink/state/CallerDirectory.h"

namespace damasklink {

// One snapshot. Shared between threads and never changed after it is published.
struct TrafficView
{
  Revision revision;
  // Whether the revision may be outdated because this host is isolated.
  bool stale = false;
  std::shared_ptr<const CallerDirectory> callers = std::make_shared<CallerDirectory>();
  std::vector<TargetRecord> targets;
};

// Returns the policy of the caller with this key. Fails with Unauthenticated for an unknown key,
// and with Unavailable when no tree is in force yet, or when the view is stale and the caller's
// subtree refuses to be served then.
Result<const ResolvedPolicy*>
FindCaller(const TrafficView& aView, const Digest& aKey);

// Holds the newest view. The control thread publishes, any thread reads.
class TrafficViewHolder
{
public:
  std::shared_ptr<const TrafficView> Get() const
  {
    absl::MutexLock lock(&this->mutex);
    return this->view;
  }

  void Publish(TrafficView aView)
  {
    auto fresh = std::make_shared<const TrafficView>(std::move(aView));
    absl::MutexLock lock(&this->mutex);
    this->view.swap(fresh);
  }

private:
  mutable absl::Mutex mutex;
  std::shared_ptr<const TrafficView> view ABSL_GUARDED_BY(mutex) =
    std::make_shared<const TrafficView>();
};

} // namespace damasklink
