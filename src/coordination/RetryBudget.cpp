#include "damasklink/coordination/RetryBudget.h"

#include <algorithm>

namespace damasklink {

void
RetryBudget::OnRequest()
{
  const double capacity = std::max(this->reserve, 1.0);
  const double added = this->balance + this->share;
  this->balance = std::min(added, capacity);
  this->surplus = std::min(this->surplus + added - this->balance, kMaxSurplus);
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

bool
RetryBudget::TryTakeSurplus()
{
  if (!this->HasSurplus()) {
    return false;
  }
  this->surplus -= 1;
  return true;
}

} // namespace damasklink
