#include "damasklink/coordination/ComeBack.h"

namespace damasklink {

Duration
ComeBack::WhileStarting(Duration aSinceStart)
{
  if (aSinceStart >= kStartTakes) {
    return kStartIsLate;
  }
  std::uniform_int_distribution<Duration::rep> spread(0, kReturnOver.count());
  return kStartTakes - aSinceStart + Duration(spread(this->random));
}

} // namespace damasklink
