#include "damasklink/coordination/WeightVersionAges.h"

#include <algorithm>
#include <iterator>

namespace damasklink {

bool
WeightVersionAges::Take(const AnnouncedWeights& aAnnounced)
{
  Versions& versions = this->models[aAnnounced.model];
  const auto [position, isNew] = versions.try_emplace(aAnnounced.version);
  std::optional<MonotonicTime>& since = position->second;
  const bool wasUnknown = !since.has_value();
  if (aAnnounced.age) {
    const MonotonicTime told = this->clock.MonotonicNow() - *aAnnounced.age;
    since = since ? std::min(*since, told) : told;
  }
  this->RemoveSuperseded(versions);
  const bool isKept = versions.contains(aAnnounced.version);
  return isKept && (isNew || (wasUnknown && aAnnounced.age));
}

void
WeightVersionAges::RemoveSuperseded(Versions& aVersions) const
{
  const auto newestOld =
    std::find_if(aVersions.rbegin(), aVersions.rend(), [this](const auto& aItem) {
      return aItem.second && this->IsOlderThan(aItem.second, this->longest);
    });
  if (newestOld != aVersions.rend()) {
    aVersions.erase(aVersions.begin(), std::prev(newestOld.base()));
  }
}

bool
WeightVersionAges::IsOlderThan(const std::optional<MonotonicTime>& aSince, Duration aAge) const
{
  return !aSince || this->clock.MonotonicNow() - *aSince >= aAge;
}

std::uint64_t
WeightVersionAges::Newest(const ModelName& aModel) const
{
  const auto found = this->models.find(aModel);
  return found == this->models.end() ? 0 : found->second.rbegin()->first;
}

std::uint64_t
WeightVersionAges::NewestOfAge(const ModelName& aModel, Duration aAge) const
{
  const auto found = this->models.find(aModel);
  if (found == this->models.end()) {
    return 0;
  }
  const Versions& versions = found->second;
  const auto newest = std::find_if(versions.rbegin(), versions.rend(), [&](const auto& aItem) {
    return this->IsOlderThan(aItem.second, aAge);
  });
  return newest == versions.rend() ? 0 : newest->first;
}

std::vector<AnnouncedWeights>
WeightVersionAges::All() const
{
  const MonotonicTime now = this->clock.MonotonicNow();
  std::vector<AnnouncedWeights> all;
  for (const auto& [model, versions] : this->models) {
    for (const auto& [version, since] : versions) {
      const std::optional<Duration> age = since ? std::optional(now - *since) : std::nullopt;
      all.push_back(AnnouncedWeights{ model, version, age });
    }
  }
  return all;
}

bool
WeightVersionAges::HasRecent() const
{
  return std::any_of(this->models.begin(), this->models.end(), [this](const auto& aItem) {
    const std::optional<MonotonicTime>& since = aItem.second.rbegin()->second;
    return !since || !this->IsOlderThan(since, this->longest);
  });
}

bool
WeightVersionAges::HasUnknown() const
{
  return std::any_of(this->models.begin(), this->models.end(), [](const auto& aItem) {
    return std::any_of(aItem.second.begin(), aItem.second.end(), [](const auto& aVersion) {
      return !aVersion.second.has_value();
    });
  });
}

void
WeightVersionAges::ResolveUnknown(MonotonicTime aSince)
{
  for (auto& [model, versions] : this->models) {
    for (auto& [version, since] : versions) {
      since = since.value_or(aSince);
    }
  }
}

} // namespace damasklink
