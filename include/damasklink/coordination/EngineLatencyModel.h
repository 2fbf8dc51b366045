// How fast the engines of a model read prompts, learnt from the first events of this host's calls.
//
//   EngineLatencyModel pace;
//   pace.RecordPrefill(TokenCount(12'800), took);   // Nothing else waited there to be read.
//   pace.RecordShortPrompt(took);                         // Hardly anything to read.
//   pace.NoteRun(took);                           // From the sending of any prompt to its end.
//   pace.MillisecondsPerToken();                              // Milliseconds to read one token.
//   pace.BaseLatency();                             // Milliseconds of a first event beyond
//   reading. pace.Run();                                   // Milliseconds for which a prompt has a
//   slot.
//
// The first two are medians of the last observations, so one observation in three may be garbage (a
// prompt that was found kept after all, one that waited behind another host's). Before enough were
// made, declared figures count. Not thread-safe.
#pragma once

#include <array>
#include <cstddef>

#include "damasklink/state/Clock.h"
#include "damasklink/state/Units.h"

namespace damasklink {

// The median of the last observations.
class MovingMedian
{
public:
  // Observations that count: at one long prompt a second and host, half a minute of them.
  static constexpr std::size_t kWindowSize = 31;
  // Below so many the median could be that of garbage.
  static constexpr std::size_t kMinObservations = 5;

  explicit MovingMedian(double aPrior)
    : median(aPrior)
  {
  }

  void Observe(double aValue);

  // The prior before there are enough observations.
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
  // Milliseconds a token before anything was observed: between the fastest and the slowest engines
  // that the users have declared (38 to 125 tokens a millisecond).
  static constexpr double kDefaultPerToken = 1.0 / 80;
  // Milliseconds of a first event that waits for nothing, before any was observed.
  static constexpr double kDefaultBaseLatency = 60;
  // No engine reads a token in less or more milliseconds; observations beyond are cut to these.
  static constexpr double kMinPerToken = 1.0 / 2000;
  static constexpr double kMaxPerToken = 1;
  // A first event that is later than this says more of what held it up than of the engine.
  static constexpr double kMaxBaseLatency = 1000;

  // Milliseconds for which a prompt has a slot, before any was observed; and the weight of a new
  // observation in their mean: some hundred of them count, since prompts differ much.
  static constexpr double kDefaultRunTime = 400;
  static constexpr double kRunTimeWeight = 0.01;

  // Takes how long a prompt's first event took of which the engine read so many tokens.
  void RecordPrefill(TokenCount aRead, Duration aTook);

  // Takes how long the first event of a prompt took of which the engine read next to nothing.
  void RecordShortPrompt(Duration aTook);

  // Takes how long a prompt had a slot of its engine.
  void NoteRun(Duration aTook);

  double MillisecondsPerToken() const { return this->perToken.Value(); }
  double Run() const { return this->run; }
  double BaseLatency() const { return this->firstStep.Value(); }

  // Milliseconds until the first event of a prompt of which the engine reads so many tokens, when
  // nothing waits before it.
  double Expected(TokenCount aToRead) const
  {
    return this->BaseLatency() +
           this->MillisecondsPerToken() * static_cast<double>(aToRead.Value());
  }

private:
  MovingMedian perToken{ kDefaultPerToken };
  MovingMedian firstStep{ kDefaultBaseLatency };
  double run = kDefaultRunTime;
};

} // namespace damasklink
