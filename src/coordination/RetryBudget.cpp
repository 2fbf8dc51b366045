#include "damasklink/coordination/RetryBudget.h"

#include <algorithm>

namespace damasklink {

void
RetryBudget::OnRequest()
{
  this->balance = std::min(this->balance + kShare, kReserve);
}

bool
RetryBudget::TryTake()
{
  if (this->balance < 1) {
    return false;
  }
  this->balance -= 1;
  return true;
}

} // namespace damasklink
