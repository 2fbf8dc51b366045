// Caches which targets may serve a kind of request, so that routing need not check each target for
// each request.
#pragma once

#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "damasklink/coordination/Router.h"

namespace damasklink {

// Returns the same as EligibleVersion() for a request that excludes no target.
//
//   EligibilityCache eligibility;
//   eligibility.Select(request, targets.size());
//   eligibility.VersionOf(request, position, targets[position]);
//
// An entry is valid for one announcement of its target. The cache is cleared when it exceeds its
// limit of request kinds. Not thread-safe.
class EligibilityCache
{
public:
  // Selects the cached entries for requests of this kind, for a list of aTargets targets.
  void Select(const RouteRequest& aRequest, std::size_t aTargets);

  // Returns the weight version with which the target at this position of the list may serve the
  // request, or an empty one. Requires a preceding Select() for the request. The reference is valid
  // until the next Select().
  const WeightVersion& VersionOf(const RouteRequest& aRequest,
                                 std::size_t aPosition,
                                 const TargetRecord& aTarget);

private:
  struct Entry
  {
    TargetId target;
    Incarnation incarnation;
    Sequence sequence;
    WeightVersion version;
  };

  absl::flat_hash_map<std::string, std::vector<Entry>> kinds;
  std::vector<Entry>* selected = nullptr;
};

} // namespace damasklink
