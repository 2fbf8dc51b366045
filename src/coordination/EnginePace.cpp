#include "damasklink/coordination/EnginePace.h"

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
RecentMedian::Observe(double aValue)
{
  this->values.at(this->next) = aValue;
  this->next = (this->next + 1) % kObservations;
  this->count = std::min(this->count + 1, kObservations);
  if (this->count < kLeastObservations) {
    return;
  }
  std::array<double, kObservations> sorted = this->values;
  const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(this->count / 2);
  std::nth_element(
    sorted.begin(), middle, sorted.begin() + static_cast<std::ptrdiff_t>(this->count));
  this->median = *middle;
}

void
EnginePace::NoteReading(TokenCount aRead, Duration aTook)
{
  if (aRead == TokenCount()) {
    return;
  }
  const double reading = Milliseconds(aTook) - this->FirstStep();
  const double perRead = reading / static_cast<double>(aRead.Value());
  this->perToken.Observe(std::clamp(perRead, kLeastPerToken, kMostPerToken));
}

void
EnginePace::NoteShort(Duration aTook)
{
  this->firstStep.Observe(std::clamp(Milliseconds(aTook), 0.0, kMostFirstStep));
}

void
EnginePace::NoteRun(Duration aTook)
{
  this->run += kRunWeight * (Milliseconds(aTook) - this->run);
}

} // namespace damasklink
