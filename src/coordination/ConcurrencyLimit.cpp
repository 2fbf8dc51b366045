#include "damasklink/coordination/ConcurrencyLimit.h"

#include <algorithm>

namespace damasklink {
namespace {

// The limit is multiplied by these on a refusal and on slow first tokens.
constexpr double kRefusalFactor = 0.8;
constexpr double kSlownessFactor = 0.95;
// Recent first tokens are slow when their mean exceeds the baseline by more than baseline /
// kSlackDivisor.
constexpr int kSlackDivisor = 32;
// Weight of the newest first token in the mean is 1 / kMeanWindow.
constexpr int kMeanWindow = 8;
// With each first token the baseline rises by baseline / kDriftDivisor.
constexpr int kDriftDivisor = 50'000;
// When answers are still slow below this part of the limit, a queue is not the cause.
constexpr double kMinQueuePart = 0.5;
// The limit grows only while at least this part of it is used.
constexpr double kInUsePart = 0.75;

} // namespace

void
ConcurrencyLimit::SetSlots(std::uint64_t aSlots)
{
  this->maximum = aSlots == 0 ? kMaxLimit : std::min(kMaxLimit, static_cast<double>(aSlots));
  // Start at the declared slots. Growing by one per round from a low start would refuse a burst
  // that the target could serve.
  if (aSlots > 0 && !this->slotsDeclared) {
    this->slotsDeclared = true;
    this->limit = this->maximum;
  }
  this->limit = std::min(this->limit, this->maximum);
}

void
ConcurrencyLimit::OnEnd(LoadSignal aLoad, Duration aFirstToken)
{
  const bool inUse = static_cast<double>(this->running) >= kInUsePart * this->limit;
  this->running -= this->running > 0 ? 1 : 0;
  this->cooldown -= this->cooldown > 0 ? 1 : 0;
  if (aLoad == LoadSignal::Failed) {
    return;
  }
  const bool slow = aLoad == LoadSignal::Served && this->IsSlow(aFirstToken);
  if (aLoad == LoadSignal::Overloaded || slow) {
    if (this->cooldown == 0) {
      this->limit = std::max(kMinLimit, this->limit * (slow ? kSlownessFactor : kRefusalFactor));
      this->cooldown = this->running;
    }
    return;
  }
  if (inUse) {
    this->limit = std::min(this->maximum, this->limit + 1 / this->limit);
  }
}

bool
ConcurrencyLimit::IsSlow(Duration aFirstToken)
{
  if (this->baseline == Duration(0)) {
    this->recentMean = aFirstToken;
    this->baseline = aFirstToken;
    return false;
  }
  this->recentMean += (aFirstToken - this->recentMean) / kMeanWindow;
  this->baseline = std::min(this->recentMean, this->baseline + this->baseline / kDriftDivisor);
  if (this->recentMean <= this->baseline + this->baseline / kSlackDivisor) {
    this->limitAtSlowdown = 0;
    return false;
  }
  this->limitAtSlowdown = std::max(this->limitAtSlowdown, this->limit);
  if (this->limit < kMinQueuePart * this->limitAtSlowdown) {
    this->baseline = this->recentMean;
    this->limitAtSlowdown = 0;
    return false;
  }
  return true;
}

} // namespace damasklink
