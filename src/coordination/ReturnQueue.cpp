#include "damasklink/coordination/ReturnQueue.h"

#include <algorithm>
#include <cmath>

namespace damasklink {

// What was admitted counts by half as much after 0.7 s.
void
ReturnQueue::Decay()
{
  const MonotonicTime now = this->clock.MonotonicNow();
  const double seconds = std::chrono::duration<double>(now - this->decayedAt).count();
  this->admitted *= std::exp(-seconds);
  this->decayedAt = now;
}

void
ReturnQueue::OnAdmitted()
{
  this->Decay();
  this->admitted += 1;
}

Duration
ReturnQueue::Join()
{
  this->Decay();
  const MonotonicTime now = this->clock.MonotonicNow();
  const double turnsASecond = std::max(kShare * this->admitted, 1.0);
  const auto gap =
    std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / turnsASecond));
  const MonotonicTime turn = std::max(now + kSoonest, this->lastTurn + gap);
  if (turn <= now + kLatest) {
    this->lastTurn = turn;
    return turn - now;
  }
  // The queue is full: no turn is better than another.
  std::uniform_int_distribution<Duration::rep> any(kSoonest.count(), kLatest.count());
  return Duration(any(this->random));
}

} // namespace damasklink
