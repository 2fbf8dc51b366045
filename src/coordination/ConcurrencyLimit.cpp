#include "damasklink/coordination/ConcurrencyLimit.h"

#include <algorithm>

namespace damasklink {
namespace {

constexpr double kOnRefusal = 0.8;
constexpr double kOnSlowness = 0.95;
// What the mean may exceed the usual by before it counts as slow, as a part of the usual.
constexpr int kSlackPart = 32;
constexpr int kMeanOver = 8;
constexpr int kDriftPart = 50'000;
// When so small a part of the limit does not make answers faster, their slowness is no queue.
constexpr double kNoQueuePart = 0.5;
// The limit grows only while it is nearly used.
constexpr double kInUse = 0.75;

} // namespace

void
ConcurrencyLimit::SetSlots(std::uint64_t aSlots)
{
  this->most = aSlots == 0 ? kMost : std::min(kMost, static_cast<double>(aSlots));
  // What the target declares is the estimate until its answers tell otherwise: growing by one a
  // round from a low start would refuse a burst that it could serve.
  if (aSlots > 0 && !this->told) {
    this->told = true;
    this->limit = this->most;
  }
  this->limit = std::min(this->limit, this->most);
}

void
ConcurrencyLimit::OnEnd(AttemptLoad aLoad, Duration aFirstToken)
{
  const bool inUse = static_cast<double>(this->running) >= kInUse * this->limit;
  this->running -= this->running > 0 ? 1 : 0;
  this->quiet -= this->quiet > 0 ? 1 : 0;
  if (aLoad == AttemptLoad::Failed) {
    return;
  }
  const bool slow = aLoad == AttemptLoad::Served && this->IsSlow(aFirstToken);
  if (aLoad == AttemptLoad::Overloaded || slow) {
    if (this->quiet == 0) {
      this->limit = std::max(kLeast, this->limit * (slow ? kOnSlowness : kOnRefusal));
      this->quiet = this->running;
    }
    return;
  }
  if (inUse) {
    this->limit = std::min(this->most, this->limit + 1 / this->limit);
  }
}

bool
ConcurrencyLimit::IsSlow(Duration aFirstToken)
{
  if (this->usual == Duration(0)) {
    this->recent = aFirstToken;
    this->usual = aFirstToken;
    return false;
  }
  this->recent += (aFirstToken - this->recent) / kMeanOver;
  this->usual = std::min(this->recent, this->usual + this->usual / kDriftPart);
  if (this->recent <= this->usual + this->usual / kSlackPart) {
    this->limitWhenSlow = 0;
    return false;
  }
  this->limitWhenSlow = std::max(this->limitWhenSlow, this->limit);
  if (this->limit < kNoQueuePart * this->limitWhenSlow) {
    this->usual = this->recent;
    this->limitWhenSlow = 0;
    return false;
  }
  return true;
}

} // namespace damasklink
