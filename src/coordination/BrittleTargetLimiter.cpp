#include "damasklink/coordination/BrittleTargetLimiter.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace damasklink {

bool
BrittleTargetLimiter::IsBrittle(const ServiceName& aService) const
{
  const auto found = this->services.find(aService);
  return found != this->services.end() &&
         this->clock.MonotonicNow() - found->second.lastSaidAt < kRetention;
}

void
BrittleTargetLimiter::OnAnswer(const TargetRecord& aTarget,
                               const std::optional<RequestRate>& aTolerated,
                               MonotonicTime aSentAt)
{
  const MonotonicTime now = this->clock.MonotonicNow();
  const auto found = this->services.find(aTarget.service);
  if (aTolerated) {
    if (found == this->services.end()) {
      this->services[aTarget.service] = Service{ now, now, *aTolerated };
    } else {
      found->second.lastSaidAt = now;
      found->second.tolerated = *aTolerated;
    }
    return;
  }
  if (found != this->services.end() && aSentAt > found->second.knownSince) {
    this->services.erase(found);
  }
}

BrittleTargetLimiter::Entry&
BrittleTargetLimiter::EntryOf(const TargetRecord& aTarget)
{
  Entry& entry = this->entries[aTarget.id];
  if (entry.incarnation < aTarget.incarnation) {
    entry = Entry{};
  }
  entry.incarnation = std::max(entry.incarnation, aTarget.incarnation);
  entry.service = aTarget.service;
  return entry;
}

void
BrittleTargetLimiter::OnRejected(const TargetRecord& aTarget)
{
  Entry& entry = this->EntryOf(aTarget);
  const std::uint64_t limit = entry.limit.value_or(entry.peak);
  entry.limit = limit - std::min<std::uint64_t>(limit, 1);
  std::uniform_int_distribution<std::int64_t> jitter(0, kRejectionPause.count());
  entry.pausedUntil = this->clock.MonotonicNow() + kRejectionPause + Duration(jitter(this->random));
}

// The fractions of all hosts add up to the whole on average.
std::uint64_t
BrittleTargetLimiter::RoundAtRandom(double aNumber)
{
  const double whole = std::floor(aNumber);
  const bool up = std::bernoulli_distribution(aNumber - whole)(this->random);
  return static_cast<std::uint64_t>(whole) + (up ? 1 : 0);
}

// aPart is this host's part of the places, aMost the highest limit.
void
BrittleTargetLimiter::Adjust(Entry& aEntry, double aPart, std::uint64_t aMost)
{
  const MonotonicTime now = this->clock.MonotonicNow();
  if (!aEntry.limit) {
    aEntry.limit = this->RoundAtRandom(aPart);
  } else if (aEntry.wanted && now >= aEntry.pausedUntil) {
    // Rises by a fraction at a time, so that the places too many are found one by one.
    *aEntry.limit += this->RoundAtRandom(std::min(aPart * kMargin, 1.0));
  }
  aEntry.limit = std::min(*aEntry.limit, aMost);
  aEntry.adjustedAt = now;
  aEntry.wanted = false;
}

// Sends a call with the probability with which this host's part of the rate, since the call before
// it, covers it. Calls that were not made are not made up for, as all hosts might do so at once.
bool
BrittleTargetLimiter::MaySendByRate(Entry& aEntry, double aSlots, double aHosts)
{
  const MonotonicTime now = this->clock.MonotonicNow();
  const Duration runTime =
    std::max<Duration>(this->services.at(aEntry.service).runTime, std::chrono::milliseconds(1));
  const bool isFirst = aEntry.consideredAt == MonotonicTime();
  const Duration elapsed = now - std::exchange(aEntry.consideredAt, now);
  const Duration since = isFirst ? Duration::zero() : std::min(elapsed, runTime);
  if (now < aEntry.pausedUntil) {
    return false;
  }
  const double used =
    std::max(aSlots - (kFreeDeviations * std::sqrt(aSlots)), kMinUse * aSlots) / aHosts;
  const double covered =
    used * static_cast<double>(since.count()) / static_cast<double>(runTime.count());
  return std::bernoulli_distribution(std::clamp(covered, 0.0, 1.0))(this->random);
}

bool
BrittleTargetLimiter::MaySend(const TargetRecord& aTarget,
                              std::uint64_t aLoad,
                              std::uint64_t aHosts)
{
  if (!this->IsBrittle(aTarget.service) || aTarget.load.slots == 0) {
    return true;
  }
  Entry& entry = this->EntryOf(aTarget);
  const auto slots = static_cast<double>(aTarget.load.slots);
  const double hosts = std::max(static_cast<double>(aHosts), 1.0);
  const double part = (1 - kMargin) * slots / hosts;
  const double tolerated = this->services.at(aTarget.service).tolerated.perSecond;
  const bool mayRoundUp = (std::ceil(part) * hosts) - slots <= tolerated;
  if (part < 1 && !mayRoundUp) {
    return this->MaySendByRate(entry, slots, hosts);
  }
  if (!entry.limit || this->clock.MonotonicNow() - entry.adjustedAt >= kAdjustInterval) {
    const double use = std::max(static_cast<double>(aLoad) / slots, 1 / slots);
    const double most =
      mayRoundUp ? std::ceil(part * std::clamp(0.5 / use, 1.0, kMaxExcess)) : std::floor(part);
    this->Adjust(entry, part, static_cast<std::uint64_t>(most));
  }
  const bool may = entry.inProgress < *entry.limit;
  entry.wanted = entry.wanted || !may;
  return may;
}

void
BrittleTargetLimiter::OnSent(const TargetRecord& aTarget)
{
  Entry& entry = this->EntryOf(aTarget);
  ++entry.inProgress;
  entry.peak = std::max(entry.peak, entry.inProgress);
}

void
BrittleTargetLimiter::OnEnded(const TargetId& aTarget,
                              Incarnation aIncarnation,
                              const std::optional<Duration>& aTook)
{
  const auto found = this->entries.find(aTarget);
  if (found == this->entries.end() || found->second.incarnation != aIncarnation) {
    return;
  }
  Entry& entry = found->second;
  entry.inProgress -= std::min<std::uint64_t>(entry.inProgress, 1);
  const auto service = this->services.find(entry.service);
  if (aTook && service != this->services.end()) {
    constexpr int kWeight = 8;
    Duration& mean = service->second.runTime;
    mean = service->second.measured ? mean + ((*aTook - mean) / kWeight) : *aTook;
    service->second.measured = true;
  }
}

void
BrittleTargetLimiter::RemoveExpired()
{
  std::erase_if(this->services,
                [this](const auto& aItem) { return !this->IsBrittle(aItem.first); });
  std::erase_if(this->entries, [this](const auto& aItem) {
    return aItem.second.inProgress == 0 && !this->services.contains(aItem.second.service);
  });
}

} // namespace damasklink
