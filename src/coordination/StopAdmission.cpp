#include "damasklink/coordination/StopAdmission.h"

#include <algorithm>
#include <iterator>

namespace damasklink {
namespace {

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

// The silences of a few calls raise neither quantile of the whole times. One that comes on top of a
// call that is long by itself is what would be cut off.
std::optional<Duration>
StopAdmission::CallTimes::Expected(MonotonicTime aNow)
{
  const RecentQuantiles::Values took = this->whole.Estimate(aNow);
  if (took.p99 <= 0) {
    return std::nullopt;
  }
  const double silence = this->silences.Estimate(aNow).p99;
  const std::chrono::duration<double> expected(std::max(took.p99, took.p95 + silence));
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

// Hosts take all requests until they end.
bool
StopAdmission::MayTake(std::string_view /*aRoute*/, Duration /*aLongest*/)
{
  return true;
}

void
StopAdmission::RemoveExpired()
{
  const MonotonicTime now = this->clock.MonotonicNow();
  for (auto position = this->routes.begin(); position != this->routes.end();) {
    position = position->second.Expected(now) ? std::next(position) : this->routes.erase(position);
  }
}

std::optional<Duration>
StopAdmission::Expected(std::string_view aRoute)
{
  const MonotonicTime now = this->clock.MonotonicNow();
  if (const auto position = this->routes.find(aRoute); position != this->routes.end()) {
    if (const std::optional<Duration> expected = position->second.Expected(now)) {
      return expected;
    }
  }
  return this->allRoutes.Expected(now);
}

} // namespace damasklink
