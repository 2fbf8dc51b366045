#include "damasklink/coordination/StoreWatchPlan.h"

#include <algorithm>
#include <tuple>

#include "damasklink/state/Digests.h"
#include "damasklink/state/Text.h"

namespace damasklink {
namespace {

// Waiting calls that a store must admit for each control host that watches it: a host that has just
// restarted may still count with its earlier call.
constexpr std::uint64_t kCallsPerHost = 2;

} // namespace

StoreWatchPlan::StoreWatchPlan(HostId aSelf, const ZoneId& aZone)
  : self(std::move(aSelf))
{
  this->known[this->self] = aZone;
  this->connected.insert(this->self);
}

void
StoreWatchPlan::AddHost(const HostId& aHost, const ZoneId& aZone)
{
  const auto [position, isNew] = this->known.try_emplace(aHost, aZone);
  const bool zoneLearnt = !aZone.Empty() && position->second != aZone;
  if (zoneLearnt) {
    position->second = aZone;
  }
  if (isNew || zoneLearnt) {
    ++this->version;
  }
}

void
StoreWatchPlan::OnConnection(const HostId& aHost, bool aUp)
{
  const bool changed =
    aUp ? this->connected.insert(aHost).second : this->connected.erase(aHost) > 0;
  if (changed) {
    ++this->version;
  }
}

// Depends on the known hosts, not on the connected ones: two halves that each know few hosts would
// together exceed what the store allows.
bool
StoreWatchPlan::MayAllWatch(const PromptStoreSpec& aStore) const
{
  const bool unlimited = aStore.mostWaiting == 0;
  return unlimited || this->known.size() * kCallsPerHost <= aStore.mostWaiting;
}

std::vector<HostId>
StoreWatchPlan::Ranking(const PromptStoreSpec& aStore) const
{
  const std::string address = FormatEndpoint(aStore.endpoint);
  using Rank = std::tuple<bool, std::uint32_t, HostId>;
  std::vector<Rank> ranks;
  ranks.reserve(this->connected.size());
  for (const HostId& host : this->connected) {
    const auto found = this->known.find(host);
    const bool far = found == this->known.end() || found->second != aStore.zone;
    ranks.emplace_back(far, MixedHash(Concat(address, "/", host.Value())), host);
  }
  std::sort(ranks.begin(), ranks.end());
  std::vector<HostId> ranking;
  ranking.reserve(ranks.size());
  for (const auto& [far, hash, host] : ranks) {
    ranking.push_back(host);
  }
  return ranking;
}

StoreRole
StoreWatchPlan::RoleFor(const PromptStoreSpec& aStore) const
{
  if (this->MayAllWatch(aStore)) {
    return StoreRole::Watch;
  }
  const std::vector<HostId> ranking = this->Ranking(aStore);
  const auto rank = std::find(ranking.begin(), ranking.end(), this->self) - ranking.begin();
  if (rank == 0) {
    return StoreRole::Relay;
  }
  return static_cast<std::size_t>(rank) < kWatchers ? StoreRole::Standby : StoreRole::Receive;
}

} // namespace damasklink
