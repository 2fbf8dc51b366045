// Decides which requests a stopping host still takes.
//
//   StopAdmission admission(clock);
//   admission.OnAnswered(route, took, longestSilence);    // After each whole answer.
//   admission.BeginStop(cutOff);                          // Calls that run then are cut off.
//   if (!admission.MayTake(route, bounds)) ...            // Refuse it: another host can take it.
//
// A call is expected to take as long as nearly all calls of its route took lately, with room for
// its target to be silent meanwhile for as long as its caller bears. Not thread-safe.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "damasklink/state/Clock.h"
#include "damasklink/state/RecentQuantiles.h"

namespace damasklink {

class StopAdmission
{
public:
  // Routes whose times are kept. Further ones are expected to take as long as calls of all routes.
  static constexpr std::size_t kMaxRoutes = 1024;

  explicit StopAdmission(const Clock& aClock);

  // A call of the route was answered by a target. aLongestSilence is the longest time within the
  // answer in which the target sent nothing.
  void OnAnswered(std::string_view aRoute, Duration aTook, Duration aLongestSilence);

  // The host stops. Calls that still run at aCutOff are cut off.
  void BeginStop(MonotonicTime aCutOff);

  // Returns when the stop began, or nothing while the host does not stop.
  std::optional<MonotonicTime> StoppingSince() const;

  // What ends a call in any case.
  struct CallBounds
  {
    // The time until its deadline.
    Duration timeLeft{ 0 };
    // How long its caller waits for a target that sends nothing.
    Duration patience{ 0 };
  };

  // Returns whether a new call of the route is expected to end before it would be cut off. Always
  // true while the host does not stop.
  bool MayTake(std::string_view aRoute, const CallBounds& aBounds);

  // Removes routes without recent calls. Must be called periodically.
  void RemoveExpired();

private:
  struct CallTimes
  {
    explicit CallTimes(MonotonicTime aNow);

    void Observe(Duration aTook, Duration aLongestSilence, MonotonicTime aNow);
    // Returns the expected time of a call whose target may be silent for this long, or nothing when
    // none was observed lately.
    std::optional<Duration> Expected(MonotonicTime aNow, Duration aPatience);

    RecentQuantiles whole;
    RecentQuantiles silences;
  };

  struct Stop
  {
    MonotonicTime since;
    MonotonicTime cutOff;
  };

  // Returns the expected time of a call of the route, or nothing when no call was observed lately.
  std::optional<Duration> Expected(std::string_view aRoute, Duration aPatience);

  const Clock& clock;
  std::map<std::string, CallTimes, std::less<>> routes;
  CallTimes allRoutes;
  std::optional<Stop> stop;
};

} // namespace damasklink
