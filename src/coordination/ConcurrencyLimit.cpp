#include "damasklink/coordination/ConcurrencyLimit.h"

#include <algorithm>

namespace damasklink {
namespace {

constexpr double kOnRefusal = 0.8;
constexpr double kOnSlowness = 0.9;
// Prompts differ in length, so only a first token far later than usual tells of a queue.
constexpr int kSlowFactor = 4;
constexpr Duration kNeverSlow = std::chrono::milliseconds(250);
constexpr int kDriftPart = 500;
// The limit grows only while it is nearly used.
constexpr double kInUse = 0.75;

} // namespace

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
    this->limit = std::min(kMost, this->limit + 1 / this->limit);
  }
}

bool
ConcurrencyLimit::IsSlow(Duration aFirstToken)
{
  if (this->usual == Duration(0) || aFirstToken < this->usual) {
    this->usual = aFirstToken;
  } else {
    this->usual += this->usual / kDriftPart;
  }
  return aFirstToken > kNeverSlow && aFirstToken > this->usual * kSlowFactor;
}

} // namespace damasklink
