// Remembers which targets may serve a kind of request, so that a decision need not ask each anew.
#pragma once

#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "damasklink/coordination/Router.h"

namespace damasklink {

// Answers as EligibleVersion() does for a request that has excluded nobody.
//
//   EligibilityCache eligibility;
//   eligibility.Select(request, targets.size());
//   eligibility.VersionOf(request, position, targets[position]);
//
// What is remembered of a target holds for one announcement of it. Bounded; not thread-safe.
class EligibilityCache
{
public:
  // Finds what is known of requests like this one, for a list of so many targets.
  void Select(const RouteRequest& aRequest, std::size_t aTargets);

  // Returns the version in which the target at this position of the list may serve the request, or
  // an empty one. Requires Select() for the request; valid until the next one.
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
