#include "damasklink/coordination/StoredPartIndex.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace damasklink {
namespace {

// Hashes a key and a number with the finalizer of SplitMix64.
std::uint64_t
Mix(std::uint64_t aKey, std::uint64_t aNumber)
{
  std::uint64_t mixed = aKey + (aNumber + 1) * 0x9e3779b97f4a7c15U;
  mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9U;
  mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebU;
  return mixed ^ (mixed >> 31U);
}

// Score for weighted rendezvous hashing; the store with the highest score gets the part.
double
RendezvousScore(std::uint64_t aKey, std::uint64_t aNumber, double aWeight)
{
  constexpr double kRange = 18'446'744'073'709'551'616.0;
  const double uniform = (static_cast<double>(Mix(aKey, aNumber)) + 1) / (kRange + 2);
  return -aWeight / std::log(uniform);
}

} // namespace

void
StoredPartIndex::SetStores(const std::vector<ServingService>& aServices)
{
  std::map<std::string, PromptStore> declared;
  for (const ServingService& service : aServices) {
    if (service.engine) {
      this->bytesPerToken = static_cast<double>(service.engine->bytesPerToken.Value());
    }
    if (!service.store) {
      continue;
    }
    const std::string address = FormatEndpoint(service.store->endpoint);
    const auto known = this->stores.find(address);
    PromptStore& store = declared[address];
    if (known != this->stores.end()) {
      store = std::move(known->second);
    }
    store.name = address;
    store.traits = *service.store;
  }
  this->stores = std::move(declared);
}

std::vector<std::string>
StoredPartIndex::StoreNames() const
{
  std::vector<std::string> names;
  for (const auto& [name, store] : this->stores) {
    names.push_back(name);
  }
  return names;
}

std::size_t
StoredPartIndex::CountLiveStores() const
{
  return static_cast<std::size_t>(std::count_if(
    this->stores.begin(), this->stores.end(), [](const auto& aItem) { return aItem.second.live; }));
}

void
StoredPartIndex::Apply(const StoreUpdate& aUpdate)
{
  const auto found = this->stores.find(FormatEndpoint(aUpdate.store));
  if (found == this->stores.end()) {
    return;
  }
  PromptStore& store = found->second;
  store.live = aUpdate.live;
  store.reservedTokens = aUpdate.reserved.Value();
  if (aUpdate.whole || !aUpdate.live) {
    store.parts.clear();
    store.storedTokens = 0;
  }
  for (const PartKey key : aUpdate.removed) {
    const auto part = store.parts.find(key);
    if (part != store.parts.end()) {
      store.storedTokens -= part->second.Value();
      store.parts.erase(part);
    }
  }
  for (const SizedPart& part : aUpdate.added) {
    if (store.parts.emplace(part.key, part.tokens).second) {
      store.storedTokens += part.tokens.Value();
    }
  }
}

const PromptStore*
StoredPartIndex::Find(const SizedPart& aPart,
                      const ZoneId& aZone,
                      const std::set<std::string>& aAvoided) const
{
  const PromptStore* best = nullptr;
  double shortest = 0;
  for (const auto& [address, store] : this->stores) {
    const auto part = store.parts.find(aPart.key);
    const bool complete = store.live && part != store.parts.end() && part->second >= aPart.tokens;
    if (!complete || aAvoided.contains(address)) {
      continue;
    }
    // A transfer between zones takes twice as long.
    const double zoneFactor = store.traits.zone == aZone ? 1 : 2;
    const double time = zoneFactor * this->TransferTime(store, aPart.tokens);
    if (best == nullptr || time < shortest) {
      best = &store;
      shortest = time;
    }
  }
  return best;
}

const PromptStore*
StoredPartIndex::SelectStore(const SizedPart& aPart) const
{
  const PromptStore* best = nullptr;
  double highest = 0;
  std::uint64_t number = 0;
  for (const auto& [address, store] : this->stores) {
    ++number;
    const auto capacity = static_cast<double>(store.traits.cacheTokens.Value());
    const auto needed =
      static_cast<double>(store.storedTokens + store.reservedTokens + aPart.tokens.Value());
    if (store.live && needed > capacity * kMaxFillRatio) {
      continue;
    }
    // Weighted by link rate, since links are the bottleneck; full stores are excluded above.
    const double weight = std::max(store.traits.linkRate, 1.0);
    const double score = RendezvousScore(aPart.key.Value(), number, weight);
    if (best == nullptr || score > highest) {
      best = &store;
      highest = score;
    }
  }
  return best != nullptr && best->live ? best : nullptr;
}

double
StoredPartIndex::TransferTime(const PromptStore& aStore, TokenCount aTokens) const
{
  const double bytesPerMillisecond = aStore.traits.linkRate * 1e6 / 8 / 1e3;
  const std::chrono::duration<double, std::milli> first = aStore.traits.firstByte;
  const double bytes = static_cast<double>(aTokens.Value()) * this->bytesPerToken;
  return first.count() + bytes / std::max(bytesPerMillisecond, 1.0);
}

} // namespace damasklink
