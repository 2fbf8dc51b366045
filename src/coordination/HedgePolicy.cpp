#include "damasklink/coordination/HedgePolicy.h"

#include <algorithm>
#include <cmath>

namespace damasklink {
namespace {

// Observations after which the delay is computed anew.
constexpr std::size_t kUpdateInterval = 10;

Duration
Times(Duration aTime, double aFactor)
{
  return std::chrono::duration_cast<Duration>(aTime * aFactor);
}

} // namespace

std::string_view
HedgeVerdictName(HedgeVerdict aVerdict)
{
  switch (aVerdict) {
    case HedgeVerdict::Send:
      return "send";
    case HedgeVerdict::NotRepeatable:
      return "not_repeatable";
    case HedgeVerdict::Begun:
      return "begun";
    case HedgeVerdict::NoAttemptLeft:
      return "no_attempt_left";
    case HedgeVerdict::Forwarded:
      return "forwarded";
    case HedgeVerdict::HostShortOfTime:
      return "host_short_of_time";
    case HedgeVerdict::Isolated:
      return "isolated";
    case HedgeVerdict::Crowded:
      return "crowded";
    case HedgeVerdict::Brittle:
      return "brittle";
  }
  return "unknown";
}

HedgeVerdict
HedgePolicy::Decide(const HedgeSituation& aSituation)
{
  if (!aSituation.repeatable) {
    return HedgeVerdict::NotRepeatable;
  }
  if (aSituation.passedOn) {
    return HedgeVerdict::Begun;
  }
  if (!aSituation.attemptLeft) {
    return HedgeVerdict::NoAttemptLeft;
  }
  if (aSituation.forwarded) {
    return HedgeVerdict::Forwarded;
  }
  if (aSituation.hostShortOfTime) {
    return HedgeVerdict::HostShortOfTime;
  }
  if (aSituation.isolated) {
    return HedgeVerdict::Isolated;
  }
  if (aSituation.crowded || aSituation.use > kMaxUse) {
    return HedgeVerdict::Crowded;
  }
  return aSituation.brittle ? HedgeVerdict::Brittle : HedgeVerdict::Send;
}

void
HedgePolicy::Observe(const HedgeKind& aKind, Duration aTook)
{
  if (!this->IsOn()) {
    return;
  }
  Observed& observed = this->kinds[aKind];
  if (observed.times.size() < kWindow) {
    observed.times.push_back(aTook);
  } else {
    observed.times[observed.next] = aTook;
    observed.next = (observed.next + 1) % kWindow;
  }
  if (++observed.sinceUpdate >= kUpdateInterval && observed.times.size() >= kMinObservations) {
    observed.sinceUpdate = 0;
    observed.delay = this->Learn(observed.times);
  }
}

void
HedgePolicy::ObserveUse(const ServiceName& aService, double aUse)
{
  if (this->IsOn()) {
    double& use = this->uses.try_emplace(aService, 1).first->second;
    use += (aUse - use) * kUseWeight;
  }
}

double
HedgePolicy::UseOf(const ServiceName& aService) const
{
  const auto found = this->uses.find(aService);
  return found == this->uses.end() ? 1 : found->second;
}

Duration
HedgePolicy::Learn(std::vector<Duration> aTimes) const
{
  std::sort(aTimes.begin(), aTimes.end());
  const auto last = static_cast<double>(aTimes.size() - 1);
  const Duration quantile =
    aTimes.at(static_cast<std::size_t>(std::floor(last * (1 - this->share))));
  const Duration median = aTimes.at(aTimes.size() / 2);
  return std::clamp(quantile, Times(median, kMinMedians), Times(median, kMaxMedians));
}

std::optional<Duration>
HedgePolicy::DelayOf(const HedgeKind& aKind) const
{
  const auto found = this->kinds.find(aKind);
  return found == this->kinds.end() ? std::nullopt : found->second.delay;
}

} // namespace damasklink
