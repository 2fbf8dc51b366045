// The immutable picture of the control state that traffic threads read.
#pragma once

#include <memory>
#include <vector>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include "damasklink/coordination/Target.h"
#include "damasklink/state/CallerDirectory.h"

namespace damasklink {

// One picture. Shared and never changed once published.
struct TrafficView
{
  Revision revision;
  // Whether the revision may be old because this host is cut off.
  bool stale = false;
  std::shared_ptr<const CallerDirectory> callers = std::make_shared<CallerDirectory>();
  std::vector<TargetRecord> targets;
};

// Returns what the holder of the key may do, by this picture. Fails with Unauthenticated for an
// unknown key, and with Unavailable where no tree is in force yet or the holder's subtree refuses
// to be served by a revision that may be old.
Result<const ResolvedPolicy*>
FindCaller(const TrafficView& aView, const Digest& aKey);

// Holds the newest picture. The control thread publishes, any thread reads.
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
