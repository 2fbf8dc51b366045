#include "damasklink/coordination/OwnMemory.h"

#include <algorithm>

namespace damasklink {

void
OwnMemory::Update(ByteCount aResident, MemoryBudget& aBudget)
{
  const std::uint64_t held = aBudget.Held();
  const ByteCount own(aResident.Value() - std::min<std::uint64_t>(aResident.Value(), held));
  const bool quiet =
    static_cast<double>(held) <= kQuietShare * static_cast<double>(aBudget.Limit());
  this->estimate = quiet ? own : std::max(own, this->estimate);
  aBudget.SetOwnUse(this->estimate);
}

} // namespace damasklink
