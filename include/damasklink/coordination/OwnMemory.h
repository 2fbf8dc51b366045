// Estimates what a process uses besides what it keeps for others, from its resident memory.
//
//   OwnMemory own;
//   own.Update(resident, budget);   // Every second or so; sets the budget's own use.
//
// Memory that is reserved and not used yet makes the process look smaller than it is. So the
// estimate falls only while little is reserved. Not thread-safe.
#pragma once

#include "damasklink/coordination/MemoryBudget.h"

namespace damasklink {

class OwnMemory
{
public:
  // The estimate may fall while at most this share of the budget is reserved.
  static constexpr double kQuietShare = 0.05;

  void Update(ByteCount aResident, MemoryBudget& aBudget);

  ByteCount Estimate() const { return this->estimate; }

private:
  ByteCount estimate;
};

} // namespace damasklink
