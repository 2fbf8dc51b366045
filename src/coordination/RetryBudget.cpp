#include "damasklink/coordination/RetryBudget.h"

#include <algorithm>

namespace damasklink {

void
RetryBudget::OnRequest()
{
  this->balance = std::min(this->balance + this->share, std::max(this->reserve, 1.0));
}

void
RetryBudget::SetReserve(double aReserve)
{
  this->reserve = aReserve;
  this->balance = std::min(this->balance, std::max(aReserve, 1.0));
}

bool
RetryBudget::TryTake()
{
  if (!this->Allows()) {
    return false;
  }
  this->balance -= 1;
  return true;
}

} // namespace damasklink
