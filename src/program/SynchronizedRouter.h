// A Router that is shared between threads.
#pragma once

#include <functional>
#include <memory>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include "damasklink/coordination/Router.h"

namespace damasklink {

// Serializes the calls to a Router with a lock. Thread-safe.
class SynchronizedRouter
{
public:
  explicit SynchronizedRouter(std::unique_ptr<Router> aRouter)
    : router(std::move(aRouter))
  {
  }

  // Chooses a target and counts the request as sent to it.
  Result<RouteDecision> ChooseAndSend(const RouteRequest& aRequest,
                                      const std::vector<TargetRecord>& aTargets)
  {
    absl::MutexLock lock(&this->mutex);
    auto decision = this->router->Choose(aRequest, aTargets);
    if (decision) {
      this->router->OnSent(aRequest, decision.value());
    }
    return decision;
  }

  void OnFirstToken(const RouteRequest& aRequest,
                    const RouteDecision& aDecision,
                    Duration aElapsed,
                    TokenCount aReused)
  {
    absl::MutexLock lock(&this->mutex);
    this->router->OnFirstToken(aRequest, aDecision, aElapsed, aReused);
  }

  void OnDone(const RouteRequest& aRequest, const RouteDecision& aDecision, bool aWhole)
  {
    absl::MutexLock lock(&this->mutex);
    this->router->OnDone(aRequest, aDecision, aWhole);
  }

  // Runs an action under the lock, for callers that use the router directly.
  void Run(const std::function<void()>& aAction)
  {
    absl::MutexLock lock(&this->mutex);
    aAction();
  }

private:
  absl::Mutex mutex;
  std::unique_ptr<Router> router ABSL_GUARDED_BY(mutex);
};

} // namespace damasklink
