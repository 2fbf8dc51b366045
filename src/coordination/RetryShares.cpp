#include "damasklink/coordination/RetryShares.h"

namespace damasklink {

void
RetryShares::SetHosts(std::uint64_t aHosts)
{
  if (aHosts == this->hosts) {
    return;
  }
  this->hosts = aHosts;
  for (auto& [service, budget] : this->budgets) {
    if (this->knowsHosts) {
      budget.SetReserve(this->Reserve());
    } else {
      budget = this->Fresh();
    }
  }
  this->knowsHosts = true;
}

double
RetryShares::Reserve() const
{
  if (this->hosts == 0) {
    return 0;
  }
  return this->allowance.reserve * kUsedOfReserve / static_cast<double>(this->hosts);
}

RetryBudget
RetryShares::Fresh() const
{
  return RetryBudget(this->allowance.share * kUsedOfShare, this->Reserve());
}

RetryBudget&
RetryShares::Of(const ServiceName& aService)
{
  const auto found = this->budgets.find(aService);
  if (found != this->budgets.end()) {
    return found->second;
  }
  return this->budgets.emplace(aService, this->Fresh()).first->second;
}

} // namespace damasklink
