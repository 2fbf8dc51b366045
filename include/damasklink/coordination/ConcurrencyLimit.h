// How many requests one target is sent at once, learnt from how it answers.
#pragma once

#include <cstddef>
#include <cstdint>

#include "damasklink/state/Clock.h"

namespace damasklink {

// How an attempt at a target went, as far as load is concerned.
enum class LoadSignal
{
  Served,     // It answered.
  Overloaded, // It refused for being full.
  Failed,     // It broke off or fell silent; tells nothing of its load.
};

// Additive increase while the limit is in use and the target answers in its usual time,
// multiplicative decrease when it refuses or answers far slower than usual.
//
//   ConcurrencyLimit limit;
//   if (limit.Free() > 0) { limit.OnStart(); ... limit.OnEnd(LoadSignal::Served, firstToken); }
//
// Not thread-safe.
class ConcurrencyLimit
{
public:
  static constexpr double kMinLimit = 1;
  static constexpr double kMaxLimit = 4096;

  void OnStart() { ++this->running; }

  // aFirstToken is the time from sending to the first token; read with Served.
  void OnEnd(LoadSignal aLoad, Duration aFirstToken);

  // Takes in how many requests the target says that it can run at once, 0 when it does not say.
  // The first declaration is where the limit starts; it stays at or below it: what exceeds it would
  // only wait inside the target, where shares are not kept.
  void SetSlots(std::uint64_t aSlots);

  std::size_t Limit() const { return static_cast<std::size_t>(this->limit); }
  std::size_t Running() const { return this->running; }
  std::size_t Free() const
  {
    return this->running >= this->Limit() ? 0 : this->Limit() - this->running;
  }

private:
  // Whether first tokens have lately come later than usual.
  bool IsSlow(Duration aFirstToken);

  double limit = 16;
  double most = kMaxLimit;
  // Whether the target has declared its slots.
  bool told = false;
  std::size_t running = 0;
  // Mean of the last few first tokens, so that one long prompt is no sign of a queue.
  Duration recent{ 0 };
  // Lowest such mean; drifts up slowly, and is learnt anew when a lower limit does not help.
  Duration usual{ 0 };
  // The limit when first tokens began to come late; zero while they do not.
  double limitAtSlowdown = 0;
  // Ends to let pass before the next decrease, so that one wave of bad news counts once.
  std::size_t quiet = 0;
};

} // namespace damasklink
