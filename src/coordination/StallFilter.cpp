#include "damasklink/coordination/StallFilter.h"

#include <algorithm>

#include "damasklink/coordination/ConnectionAdmission.h"

namespace damasklink {

Duration
StallFilter::LagOfLoad(Duration aLag, Duration aRunning) const
{
  const bool late = aLag > ConnectionAdmission::kMaxLag;
  const bool worked = aRunning > ConnectionAdmission::kMaxLag;
  const bool again = this->onTime < kIntervals;
  return late && !worked && !again ? Duration::zero() : aLag;
}

void
StallFilter::OnInterval(Duration aLag)
{
  const bool late = aLag > ConnectionAdmission::kMaxLag;
  this->onTime = late ? 0 : std::min(this->onTime + 1, kIntervals);
}

} // namespace damasklink
