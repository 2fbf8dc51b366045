#include "TrafficView.h"

namespace damasklink {

Result<const ResolvedPolicy*>
FindCaller(const TrafficView& aView, const Digest& aKey)
{
  if (aView.revision == Revision()) {
    return Fail(ErrorKind::Unavailable,
                "this host has no configuration yet",
                "try again shortly; operators: apply a tree");
  }
  const ResolvedPolicy* policy = aView.callers->Find(aKey);
  if (policy == nullptr) {
    return Fail(
      ErrorKind::Unauthenticated, "the key is unknown", "check the key with your operator");
  }
  if (aView.stale && policy->whenStale == WhenStale::Refuse) {
    return Fail(ErrorKind::Unavailable,
                "this host is isolated and its configuration may be outdated",
                "try again shortly; another zone may serve you");
  }
  return policy;
}

} // namespace damasklink
