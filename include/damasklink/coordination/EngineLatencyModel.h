// Estimates how fast the engines of a model process prompts, from the first events of this host's
// calls.
//
//   EngineLatencyModel pace;
//   pace.RecordPrefill(TokenCount(12'800), took);  // Nothing else waited for prefill there.
//   pace.RecordShortPrompt(took);                  // Next to nothing to prefill.
//   pace.RecordRun(took);                          // A prompt held its slot for so long.
//   pace.MillisecondsPerToken();                   // Prefill time of one token.
//   pace.BaseLatency();                            // Time to the first event without prefill.
//   pace.RunTime();                                // Time for which a prompt holds a slot.
//
// All results are in milliseconds. Prefill time and base latency are medians of the last
// observations, so up to one observation in three may be wrong (a prompt that was cached after all,
// or that waited behind another host's). Until there are enough observations, default figures
// apply. Not thread-safe.
#pragma once

#include <array>
#include <cstddef>

#include "damasklink/state/Clock.h"
#include "damasklink/state/Units.h"

namespace damasklink {

// The median of the last kWindowSize observations.
class MovingMedian
{
public:
  // At one long prompt a second and host, observations of half a minute.
  static constexpr std::size_t kWindowSize = 31;
  // With fewer observations, most of them could be wrong.
  static constexpr std::size_t kMinObservations = 5;

  explicit MovingMedian(double aPrior)
    : median(aPrior)
  {
  }

  void Observe(double aValue);

  // Returns the median, or the prior until there are enough observations.
  double Value() const { return this->median; }

  std::size_t Count() const { return this->count; }

private:
  std::array<double, kWindowSize> values{};
  std::size_t count = 0;
  std::size_t next = 0;
  double median;
};

class EngineLatencyModel
{
public:
  // Milliseconds a token before anything was observed: between the slowest and the fastest engines
  // that users have declared (38 to 125 tokens a millisecond).
  static constexpr double kDefaultPerToken = 1.0 / 80;
  // Milliseconds to the first event of a prompt that waits for nothing, before any was observed.
  static constexpr double kDefaultBaseLatency = 60;
  // Bounds of the milliseconds a token that any engine takes; observations outside are clamped.
  static constexpr double kMinPerToken = 1.0 / 2000;
  static constexpr double kMaxPerToken = 1;
  // Upper bound in milliseconds; a later first event was delayed by something other than the
  // engine.
  static constexpr double kMaxBaseLatency = 1000;

  // Milliseconds for which a prompt holds a slot, before any was observed; and the weight of a new
  // observation in their exponential moving average. Prompts differ much, so about a hundred of
  // them count.
  static constexpr double kDefaultRunTime = 400;
  static constexpr double kRunTimeWeight = 0.01;

  // Records the time to the first event of a prompt, and the number of tokens that the engine had
  // to prefill.
  void RecordPrefill(TokenCount aTokens, Duration aTook);

  // Records the time to the first event of a prompt that needed next to no prefill.
  void RecordShortPrompt(Duration aTook);

  // Records how long a prompt held a slot of its engine.
  void RecordRun(Duration aTook);

  double MillisecondsPerToken() const { return this->perTokenMedian.Value(); }
  double RunTime() const { return this->runTime; }
  double BaseLatency() const { return this->baseLatencyMedian.Value(); }

  // Returns the expected milliseconds to the first event of a prompt with so many tokens to
  // prefill, when nothing waits before it.
  double Expected(TokenCount aUncached) const
  {
    return this->BaseLatency() +
           this->MillisecondsPerToken() * static_cast<double>(aUncached.Value());
  }

private:
  MovingMedian perTokenMedian{ kDefaultPerToken };
  MovingMedian baseLatencyMedian{ kDefaultBaseLatency };
  double runTime = kDefaultRunTime;
};

} // namespace damasklink
