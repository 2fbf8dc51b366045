// The clock that every decision is handed, so that tests and benches set the time.
#pragma once

#include <chrono>

namespace damasklink {

using MonotonicTime = std::chrono::steady_clock::time_point;
using WallTime = std::chrono::system_clock::time_point;
using Duration = std::chrono::nanoseconds;

// Tells the time. Implementations are safe to call from any thread.
//
// Leases, timeouts and expiry use MonotonicNow(); only what a person reads, and the birth of a
// minted key, uses WallNow().
class Clock
{
public:
  virtual ~Clock() = default;

  // Returns a time that never goes back within this process.
  virtual MonotonicTime MonotonicNow() const = 0;

  // Returns the calendar time, which may jump.
  virtual WallTime WallNow() const = 0;
};

// The clock of a running process. Its monotonic time counts while the host is suspended, which
// std::chrono::steady_clock does not on Linux: a lease that ran out meanwhile must be seen to have.
class SystemClock final : public Clock
{
public:
  MonotonicTime MonotonicNow() const override;
  WallTime WallNow() const override { return std::chrono::system_clock::now(); }
};

// A clock that moves only when told to; for tests and benches, on one thread.
//
//   ManualClock clock;
//   clock.Advance(std::chrono::seconds(2));
class ManualClock final : public Clock
{
public:
  MonotonicTime MonotonicNow() const override { return MonotonicTime(this->elapsed); }
  WallTime WallNow() const override
  {
    return WallTime(std::chrono::duration_cast<WallTime::duration>(this->elapsed));
  }

  // Moves both times forward. Requires that aStep is not negative.
  void Advance(Duration aStep) { this->elapsed += aStep; }

private:
  // Starts well above zero so that "long ago" stays representable.
  Duration elapsed = std::chrono::hours(24 * 365);
};

} // namespace damasklink
