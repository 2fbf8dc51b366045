// Decides when a call that waits for its target is hedged: sent to a second target as well.
//
//   HedgePolicy policy(share);
//   policy.Observe(kind, took);                 // From the send to the first byte of the response.
//   if (const auto delay = policy.DelayOf(kind)) ...   // Decide after so long without a byte.
//   if (HedgePolicy::Decide(situation) == HedgeVerdict::Send) ...
//
// The delay is learnt for each kind of call: the quantile that as many calls exceed as the
// operator's share lets be hedged, within two multiples of the median. Without the upper one, a
// slow target in ten would move the quantile to its own pace and no call at it would be hedged;
// without the lower one, calls that all take the same time would be. When all targets become slow,
// so does the median, and hedges cease. Not thread-safe.
#pragma once

#include <compare>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "damasklink/state/Clock.h"
#include "damasklink/state/Ids.h"

namespace damasklink {

// Calls that usually take about the same time.
struct HedgeKind
{
  std::string route;
  // The target has much of the prompt to read.
  bool longPrefill = false;

  // clang-tidy 14 mistakes the generated comparison with zero for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const HedgeKind&) const = default;
};

// What is known of a call that has waited for its delay.
struct HedgeSituation
{
  // The call may run more than once, or, for a stream, continue on another target.
  bool repeatable = false;
  // The caller has a part of the response.
  bool passedOn = false;
  // The attempt in progress is the call's first, and the route allows another.
  bool attemptLeft = false;
  // Another host sent the call here, or this host sent it to another.
  bool forwarded = false;
  // This host stops, or its event loop lags.
  bool hostShortOfTime = false;
  // No target of the service was heard lately, so the fault may be this host's own.
  bool isolated = false;
  // Most targets of the service are loaded.
  bool crowded = false;
  // Targets of the service fail when they reject too many requests.
  bool brittle = false;
  // HedgePolicy::UseOf().
  double use = 0;
};

enum class HedgeVerdict
{
  Send,
  NotRepeatable,
  Begun,
  NoAttemptLeft,
  Forwarded,
  HostShortOfTime,
  Isolated,
  Crowded,
  Brittle,
};

// Returns the name used in logs and metrics.
std::string_view
HedgeVerdictName(HedgeVerdict aVerdict);

class HedgePolicy
{
public:
  // Calls of a kind from which the delay is learnt, and the fewest that do.
  static constexpr std::size_t kWindow = 200;
  static constexpr std::size_t kMinObservations = 20;
  // Bounds of the delay as multiples of the median.
  static constexpr double kMinMedians = 1.5;
  static constexpr double kMaxMedians = 3;
  // With a larger share of the places taken, extra work would delay other calls.
  static constexpr double kMaxUse = 0.6;
  // Weight of the newest observation of the use: few places are often free by chance.
  static constexpr double kUseWeight = 0.05;

  HedgePolicy() = default;
  // aShare is the operator's limit. A share of zero learns and hedges nothing.
  explicit HedgePolicy(double aShare)
    : share(aShare)
  {
  }

  bool IsOn() const { return this->share > 0; }

  // Records the time from sending a call to the first byte of its response. For a call whose hedge
  // responded first, the time until then, which the other one has exceeded.
  void Observe(const HedgeKind& aKind, Duration aTook);

  // Returns how long a call of the kind waits before it is hedged, or nothing while too few were
  // observed.
  std::optional<Duration> DelayOf(const HedgeKind& aKind) const;

  // Records the share of the places of a service's targets that are taken; at even intervals.
  void ObserveUse(const ServiceName& aService, double aUse);

  // Returns the average use of late, or 1 if it is not known.
  double UseOf(const ServiceName& aService) const;

  static HedgeVerdict Decide(const HedgeSituation& aSituation);

private:
  struct Observed
  {
    // The latest ones, as a ring.
    std::vector<Duration> times;
    std::size_t next = 0;
    std::size_t sinceUpdate = 0;
    std::optional<Duration> delay;
  };

  Duration Learn(std::vector<Duration> aTimes) const;

  double share = 0;
  std::map<HedgeKind, Observed> kinds;
  std::map<ServiceName, double> uses;
};

} // namespace damasklink
