// How many requests one target is sent at once, learnt from how it answers.
#pragma once

#include <cstddef>

#include "damasklink/state/Clock.h"

namespace damasklink {

// How an attempt at a target went, as far as load is concerned.
enum class AttemptLoad
{
  Served,     // It answered.
  Overloaded, // It refused for being full.
  Failed,     // It broke off or fell silent; tells nothing of its load.
};

// Additive increase while the limit is in use and the target answers in its usual time,
// multiplicative decrease when it refuses or answers far slower than usual.
//
//   ConcurrencyLimit limit;
//   if (limit.Free() > 0) { limit.OnStart(); ... limit.OnEnd(AttemptLoad::Served, firstToken); }
//
// Not thread-safe.
class ConcurrencyLimit
{
public:
  static constexpr double kLeast = 1;
  static constexpr double kMost = 4096;

  void OnStart() { ++this->running; }

  // aFirstToken is the time from sending to the first token; read with Served.
  void OnEnd(AttemptLoad aLoad, Duration aFirstToken);

  std::size_t Limit() const { return static_cast<std::size_t>(this->limit); }
  std::size_t Running() const { return this->running; }
  std::size_t Free() const
  {
    return this->running >= this->Limit() ? 0 : this->Limit() - this->running;
  }

private:
  bool IsSlow(Duration aFirstToken);

  double limit = 16;
  std::size_t running = 0;
  // Fastest recent first token; drifts up so that a slower normal is learnt.
  Duration usual{ 0 };
  // Ends to let pass before the next decrease, so that one wave of bad news counts once.
  std::size_t quiet = 0;
};

} // namespace damasklink
