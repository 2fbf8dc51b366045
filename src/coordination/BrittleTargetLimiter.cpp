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
    Service& service = this->services.try_emplace(aTarget.service, Service{ now }).first->second;
    service.lastSaidAt = now;
    service.tolerated = *aTolerated;
    service.unreported = true;
    return;
  }
  if (found != this->services.end() && aSentAt > found->second.knownSince) {
    this->services.erase(found);
  }
}

void
BrittleTargetLimiter::OnReport(const BrittleService& aReport)
{
  const MonotonicTime now = this->clock.MonotonicNow();
  Service& service = this->services.try_emplace(aReport.service, Service{ now }).first->second;
  service.lastSaidAt = now;
  service.tolerated = aReport.tolerated;
  service.unreported = false;
  service.reportedAt = now;
  if (!service.measured && aReport.runTime > Duration::zero()) {
    service.runTime = aReport.runTime;
  }
}

std::vector<BrittleService>
BrittleTargetLimiter::TakeReports()
{
  std::vector<BrittleService> reports;
  const MonotonicTime now = this->clock.MonotonicNow();
  for (auto& [name, service] : this->services) {
    const bool isDue = !service.reportedAt || now - *service.reportedAt >= kReportInterval;
    if (!service.unreported || !isDue) {
      continue;
    }
    service.unreported = false;
    service.reportedAt = now;
    reports.push_back(BrittleService{
      name, service.tolerated, service.measured ? service.runTime : Duration::zero() });
  }
  return reports;
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

// Returns how many of the places may be taken. Requests that end before hosts know of them are not
// part of a known load, so room must remain for the deviations of their number.
double
BrittleTargetLimiter::UsablePlaces(double aSlots, Duration aRunTime)
{
  if (aRunTime > kAdjustInterval) {
    return (1 - kMargin) * aSlots;
  }
  return std::max(aSlots - (kFreeDeviations * std::sqrt(aSlots)), kMinUse * aSlots);
}

// Sends a call with the probability with which the calls of all hosts fill the free places, but no
// more, until they learn of each other's requests. The time since this host's previous call stands
// for the rate of its calls.
bool
BrittleTargetLimiter::MaySendByRate(Entry& aEntry, double aSlots, double aLoad, double aHosts)
{
  const MonotonicTime now = this->clock.MonotonicNow();
  const Service& service = this->services.at(aEntry.service);
  const MonotonicTime before =
    std::max(std::exchange(aEntry.consideredAt, now), service.knownSince);
  if (now < aEntry.pausedUntil) {
    return false;
  }
  const Duration runTime = std::max<Duration>(service.runTime, std::chrono::milliseconds(1));
  const double free = std::max(UsablePlaces(aSlots, runTime) - aLoad, 0.0) / aHosts;
  const Duration interval = std::min(runTime, kAdjustInterval);
  const double covered =
    free * static_cast<double>((now - before).count()) / static_cast<double>(interval.count());
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
    return this->MaySendByRate(entry, slots, static_cast<double>(aLoad), hosts);
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
