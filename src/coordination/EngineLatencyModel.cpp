#include "damasklink/coordination/EngineLatencyModel.h"

#include <algorithm>

namespace damasklink {
namespace {

double
Milliseconds(Duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

} // namespace

void
MovingMedian::Observe(double aValue)
{
  this->values.at(this->next) = aValue;
  this->next = (this->next + 1) % kWindowSize;
  this->count = std::min(this->count + 1, kWindowSize);
  if (this->count < kMinObservations) {
    return;
  }
  std::array<double, kWindowSize> sorted = this->values;
  const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(this->count / 2);
  std::nth_element(
    sorted.begin(), middle, sorted.begin() + static_cast<std::ptrdiff_t>(this->count));
  this->median = *middle;
}

void
EngineLatencyModel::RecordPrefill(TokenCount aTokens, Duration aTook)
{
  if (aTokens == TokenCount()) {
    return;
  }
  const double prefill = Milliseconds(aTook) - this->BaseLatency();
  const double perToken = prefill / static_cast<double>(aTokens.Value());
  this->perTokenMedian.Observe(std::clamp(perToken, kMinPerToken, kMaxPerToken));
}

void
EngineLatencyModel::RecordShortPrompt(Duration aTook)
{
  this->baseLatencyMedian.Observe(std::clamp(Milliseconds(aTook), 0.0, kMaxBaseLatency));
}

void
EngineLatencyModel::RecordRun(Duration aTook)
{
  this->runTime += kRunTimeWeight * (Milliseconds(aTook) - this->runTime);
}

} // namespace damasklink
