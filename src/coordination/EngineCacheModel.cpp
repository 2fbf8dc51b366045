#include "damasklink/coordination/EngineCacheModel.h"

namespace damasklink {

void
EngineCacheModel::OnSent(const TargetId& aTarget, const std::vector<SizedPart>& aParts)
{
  Cache& cache = this->targets[aTarget];
  for (const SizedPart& part : aParts) {
    const auto [position, isNew] = cache.parts.try_emplace(part.key);
    CachedPart& cached = position->second;
    if (isNew) {
      cached.tokens = part.tokens.Value();
      cache.tokens += cached.tokens;
    }
    cached.stamp = ++cache.lastStamp;
    cache.uses.push_back(Use{ part.key, cached.stamp });
  }
  this->Evict(cache);
}

std::size_t
EngineCacheModel::LeadingCached(const TargetId& aTarget, const std::vector<SizedPart>& aParts) const
{
  const auto found = this->targets.find(aTarget);
  if (found == this->targets.end()) {
    return 0;
  }
  std::size_t count = 0;
  while (count < aParts.size() && found->second.parts.contains(aParts[count].key)) {
    ++count;
  }
  return count;
}

bool
EngineCacheModel::Holds(const TargetId& aTarget, PartKey aPart) const
{
  const auto found = this->targets.find(aTarget);
  return found != this->targets.end() && found->second.parts.contains(aPart);
}

void
EngineCacheModel::Evict(Cache& aCache) const
{
  while (!aCache.uses.empty()) {
    const Use& oldest = aCache.uses.front();
    const auto cached = aCache.parts.find(oldest.key);
    const bool usedLater = cached == aCache.parts.end() || cached->second.stamp != oldest.stamp;
    if (!usedLater) {
      if (aCache.tokens <= this->capacity) {
        return;
      }
      aCache.tokens -= cached->second.tokens;
      aCache.parts.erase(cached);
    }
    aCache.uses.pop_front();
  }
}

} // namespace damasklink
