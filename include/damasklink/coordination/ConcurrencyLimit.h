// Adaptive limit of the concurrent requests at one target.
#pragma once

#include <cstddef>
#include <cstdint>

#include "damasklink/state/Clock.h"

namespace damasklink {

// What the end of an attempt says about the load of its target.
enum class LoadSignal
{
  Served,     // The target answered.
  Overloaded, // The target refused the request because it is full.
  Failed,     // The attempt broke off or timed out; says nothing about load.
};

// Increases the limit additively while it is in use and the target answers in its usual time, and
// decreases it multiplicatively when the target refuses requests or is far slower than usual.
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

  // aFirstToken is the time from sending to the first token; used with Served only.
  void OnEnd(LoadSignal aLoad, Duration aFirstToken);

  // Sets how many requests the target declares it can run concurrently; 0 if it declares none. The
  // limit starts at the first declaration and never exceeds the current one: further requests would
  // only queue inside the target, where the shares of workspaces are not enforced.
  void SetSlots(std::uint64_t aSlots);

  std::size_t Limit() const { return static_cast<std::size_t>(this->limit); }
  std::size_t Running() const { return this->running; }
  std::size_t Free() const
  {
    return this->running >= this->Limit() ? 0 : this->Limit() - this->running;
  }

private:
  // Adds a first-token time; returns whether recent ones are slower than the baseline.
  bool IsSlow(Duration aFirstToken);

  double limit = 16;
  double maximum = kMaxLimit;
  // Whether the target has declared its slots before.
  bool slotsDeclared = false;
  std::size_t running = 0;
  // Moving average of first-token times, so that one long prompt does not count as a queue.
  Duration recentMean{ 0 };
  // Lowest such average. It drifts up slowly, and is reset when a lower limit does not help.
  Duration baseline{ 0 };
  // The limit at which first tokens became slow; zero while they are not.
  double limitAtSlowdown = 0;
  // Attempts that must end before the next decrease, so that one burst of refusals counts once.
  std::size_t cooldown = 0;
};

} // namespace damasklink
