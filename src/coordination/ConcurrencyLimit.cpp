#include "damasklink/coordination/ConcurrencyLimit.h"

#include <algorithm>

namespace damasklink {
namespace {

constexpr double kRefusalFactor = 0.8;
constexpr double kSlownessFactor = 0.95;
// What the mean may exceed the usual by before it counts as slow, as a part of the usual.
constexpr int kSlackDivisor = 32;
constexpr int kMeanOver = 8;
constexpr int kDriftDivisor = 50'000;
// When so small a part of the limit does not make answers faster, their slowness is no queue.
constexpr double kMinQueuePart = 0.5;
// The limit grows only while it is nearly used.
constexpr double kInUsePart = 0.75;

} // namespace

void
ConcurrencyLimit::SetSlots(std::uint64_t aSlots)
{
  this->most = aSlots == 0 ? kMaxLimit : std::min(kMaxLimit, static_cast<double>(aSlots));
  // What the target declares is the estimate until its answers tell otherwise: growing by one a
  // round from a low start would refuse a burst that it could serve.
  if (aSlots > 0 && !this->told) {
    this->told = true;
    this->limit = this->most;
  }
  this->limit = std::min(this->limit, this->most);
}

void
ConcurrencyLimit::OnEnd(LoadSignal aLoad, Duration aFirstToken)
{
  const bool inUse = static_cast<double>(this->running) >= kInUsePart * this->limit;
  this->running -= this->running > 0 ? 1 : 0;
  this->quiet -= this->quiet > 0 ? 1 : 0;
  if (aLoad == LoadSignal::Failed) {
    return;
  }
  const bool slow = aLoad == LoadSignal::Served && this->IsSlow(aFirstToken);
  if (aLoad == LoadSignal::Overloaded || slow) {
    if (this->quiet == 0) {
      this->limit = std::max(kMinLimit, this->limit * (slow ? kSlownessFactor : kRefusalFactor));
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
  this->usual = std::min(this->recent, this->usual + this->usual / kDriftDivisor);
  if (this->recent <= this->usual + this->usual / kSlackDivisor) {
    this->limitAtSlowdown = 0;
    return false;
  }
  this->limitAtSlowdown = std::max(this->limitAtSlowdown, this->limit);
  if (this->limit < kMinQueuePart * this->limitAtSlowdown) {
    this->usual = this->recent;
    this->limitAtSlowdown = 0;
    return false;
  }
  return true;
}

} // namespace damasklink
