#include "damasklink/coordination/SubtreeLimiter.h"

#include <algorithm>
#include <cmath>

#include "damasklink/state/Text.h"

namespace damasklink {
namespace {

constexpr Duration kBusyRetryAfter = std::chrono::seconds(1);

AdmissionRefusal
PromptTooLong(std::uint64_t aMaxTokens)
{
  return AdmissionRefusal{ Error{ ErrorKind::InvalidArgument,
                                  Concat("the prompt is longer than ", aMaxTokens, " tokens"),
                                  "shorten it, or ask the operator for a higher prompt_tokens" },
                           Duration(0) };
}

AdmissionRefusal
Busy(const char* aMessage, const char* aRemedy, Duration aRetryAfter)
{
  return AdmissionRefusal{ Error{ ErrorKind::Overloaded, aMessage, aRemedy }, aRetryAfter };
}

} // namespace

double
SubtreeLimiter::HostPart(std::uint64_t aLimit) const
{
  return std::ceil(static_cast<double>(aLimit) / static_cast<double>(this->hosts));
}

std::optional<AdmissionRefusal>
SubtreeLimiter::Enter(const ResolvedPolicy& aPolicy, TokenCount aPromptTokens)
{
  const SubtreeLimits& limits = aPolicy.limits;
  if (limits.promptTokens && aPromptTokens.Value() > *limits.promptTokens) {
    return PromptTooLong(*limits.promptTokens);
  }
  Team& team = this->teams[{ aPolicy.workspace, aPolicy.team }];
  const bool bounded = limits.concurrentRequests.has_value();
  if (bounded && static_cast<double>(team.running) >= this->HostPart(*limits.concurrentRequests)) {
    return Busy("the team has reached its limit of concurrent requests",
                "wait for a request to end, or ask the operator for a higher concurrent_requests",
                kBusyRetryAfter);
  }
  if (limits.requestsPerSecond) {
    if (const auto wait = this->SpendAllowance(team, *limits.requestsPerSecond)) {
      return Busy("the team has reached its limit of requests per second",
                  "send fewer, or ask the operator for a higher requests_per_second",
                  *wait);
    }
  }
  ++team.running;
  return std::nullopt;
}

std::optional<Duration>
SubtreeLimiter::SpendAllowance(Team& aTeam, std::uint64_t aPerSecond) const
{
  const double rate = this->HostPart(aPerSecond);
  const MonotonicTime now = this->clock.MonotonicNow();
  const std::chrono::duration<double> since = now - aTeam.refilledAt;
  aTeam.allowance = std::min(rate, aTeam.allowance + since.count() * rate);
  aTeam.refilledAt = now;
  if (aTeam.allowance < 1) {
    const std::chrono::duration<double> wait((1 - aTeam.allowance) / rate);
    return std::chrono::duration_cast<Duration>(wait);
  }
  aTeam.allowance -= 1;
  return std::nullopt;
}

void
SubtreeLimiter::Leave(const ResolvedPolicy& aPolicy)
{
  const auto found = this->teams.find({ aPolicy.workspace, aPolicy.team });
  --found->second.running;
  // Without a rate limit there is no allowance to keep.
  if (found->second.running == 0 && !aPolicy.limits.requestsPerSecond) {
    this->teams.erase(found);
  }
}

} // namespace damasklink
