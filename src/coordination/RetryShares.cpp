#include "damasklink/coordination/RetryShares.h"

namespace damasklink {

void
RetryShares::SetHosts(std::uint64_t aHosts)
{
  if (aHosts != this->hosts) {
    this->hosts = aHosts;
    this->budgets.clear();
  }
}

RetryBudget&
RetryShares::Of(const ServiceName& aService)
{
  const auto found = this->budgets.find(aService);
  if (found != this->budgets.end()) {
    return found->second;
  }
  const double reserve =
    this->hosts == 0 ? 0
                     : this->allowance.reserve * kUsedOfReserve / static_cast<double>(this->hosts);
  const RetryBudget fresh(this->allowance.share * kUsedOfShare, reserve);
  return this->budgets.emplace(aService, fresh).first->second;
}

} // namespace damasklink
