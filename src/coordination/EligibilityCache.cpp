#include "damasklink/coordination/EligibilityCache.h"

#include "damasklink/state/Text.h"

namespace damasklink {
namespace {

constexpr std::size_t kMostRequestKinds = 1024;

// Returns a key of all properties of a request that eligibility depends on.
std::string
RequestKind(const RouteRequest& aRequest)
{
  std::string kind = Concat(aRequest.model.Value(),
                            "\n",
                            aRequest.version.Value(),
                            "\n",
                            aRequest.adapter.Value(),
                            aRequest.continuation ? "\nc" : "\nn");
  for (const ModelGrant& grant : aRequest.grants) {
    kind += Concat("\n", grant.model.Value());
    for (const WeightVersion& version : grant.versions) {
      kind += Concat("\n@", version.Value());
    }
  }
  return kind;
}

} // namespace

void
EligibilityCache::Select(const RouteRequest& aRequest, std::size_t aTargets)
{
  if (this->kinds.size() > kMostRequestKinds) {
    this->kinds.clear();
  }
  this->selected = &this->kinds[RequestKind(aRequest)];
  this->selected->resize(aTargets);
}

const WeightVersion&
EligibilityCache::VersionOf(const RouteRequest& aRequest,
                            std::size_t aPosition,
                            const TargetRecord& aTarget)
{
  Entry& entry = (*this->selected)[aPosition];
  const bool known = entry.sequence == aTarget.sequence &&
                     entry.incarnation == aTarget.incarnation && entry.target == aTarget.id;
  if (!known || entry.sequence == Sequence()) {
    RouteRequest first = aRequest;
    first.excluded.clear();
    entry = { aTarget.id, aTarget.incarnation, aTarget.sequence, EligibleVersion(first, aTarget) };
  }
  return entry.version;
}

} // namespace damasklink
