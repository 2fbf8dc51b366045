#include "damasklink/coordination/StopAdmission.h"

#include <algorithm>
#include <iterator>

namespace damasklink {
namespace {

// Of a stop, this part at most is left for a silence, so that calls with patient callers are taken
// at its beginning, when new ones still arrive.
constexpr int kSilenceShare = 3;

double
Seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

} // namespace

StopAdmission::CallTimes::CallTimes(MonotonicTime aNow)
  : whole(aNow)
  , silences(aNow)
{
}

void
StopAdmission::CallTimes::Observe(Duration aTook, Duration aLongestSilence, MonotonicTime aNow)
{
  this->whole.Observe(Seconds(aTook), aNow);
  this->silences.Observe(Seconds(aLongestSilence), aNow);
}

// The whole times include silences. Adding one leaves room for a call that is long by itself and
// whose target is silent on top of that. All targets may be silent for the first time during the
// stop, so what was observed is not the bound.
std::optional<Duration>
StopAdmission::CallTimes::Expected(MonotonicTime aNow, Duration aPatience)
{
  const RecentQuantiles::Values took = this->whole.Estimate(aNow);
  if (took.p99 <= 0) {
    return std::nullopt;
  }
  const double silence = std::max(this->silences.Estimate(aNow).p99, Seconds(aPatience));
  const std::chrono::duration<double> expected(took.p99 + silence);
  return std::chrono::duration_cast<Duration>(expected);
}

StopAdmission::StopAdmission(const Clock& aClock)
  : clock(aClock)
  , allRoutes(aClock.MonotonicNow())
{
}

void
StopAdmission::OnAnswered(std::string_view aRoute, Duration aTook, Duration aLongestSilence)
{
  const MonotonicTime now = this->clock.MonotonicNow();
  this->allRoutes.Observe(aTook, aLongestSilence, now);
  auto position = this->routes.find(aRoute);
  if (position == this->routes.end()) {
    if (this->routes.size() >= kMaxRoutes) {
      return;
    }
    position = this->routes.emplace(std::string(aRoute), CallTimes(now)).first;
  }
  position->second.Observe(aTook, aLongestSilence, now);
}

void
StopAdmission::BeginStop(MonotonicTime aCutOff)
{
  this->stop = Stop{ this->clock.MonotonicNow(), aCutOff };
}

std::optional<MonotonicTime>
StopAdmission::StoppingSince() const
{
  return this->stop ? std::optional(this->stop->since) : std::nullopt;
}

// A refused call costs its caller a round trip, one that is cut off may cost the whole answer. So
// where nothing is known, calls are taken in the first half of a stop only: until the load balancer
// has noticed the stop, it would send many of the refused ones here again.
bool
StopAdmission::MayTake(std::string_view aRoute, const CallBounds& aBounds)
{
  if (!this->stop) {
    return true;
  }
  const Duration left = this->stop->cutOff - this->clock.MonotonicNow();
  if (aBounds.timeLeft <= left) {
    return true;
  }
  const Duration half = (this->stop->cutOff - this->stop->since) / 2;
  const Duration silence = std::min(aBounds.patience, half * 2 / kSilenceShare);
  return this->Expected(aRoute, silence).value_or(half) <= left;
}

void
StopAdmission::RemoveExpired()
{
  const MonotonicTime now = this->clock.MonotonicNow();
  for (auto position = this->routes.begin(); position != this->routes.end();) {
    position = position->second.Expected(now, Duration::zero()) ? std::next(position)
                                                                : this->routes.erase(position);
  }
}

std::optional<Duration>
StopAdmission::Expected(std::string_view aRoute, Duration aPatience)
{
  const MonotonicTime now = this->clock.MonotonicNow();
  if (const auto position = this->routes.find(aRoute); position != this->routes.end()) {
    if (const std::optional<Duration> expected = position->second.Expected(now, aPatience)) {
      return expected;
    }
  }
  return this->allRoutes.Expected(now, aPatience);
}

} // namespace damasklink
