#include "damasklink/coordination/ServiceRetryBudgets.h"

namespace damasklink {

void
ServiceRetryBudgets::SetHosts(std::uint64_t aHosts)
{
  if (aHosts == this->hosts) {
    return;
  }
  this->hosts = aHosts;
  for (auto& [service, budget] : this->budgets) {
    if (this->hostsKnown) {
      budget.SetReserve(this->Reserve());
    } else {
      budget = this->NewBudget();
    }
  }
  this->hostsKnown = true;
}

double
ServiceRetryBudgets::Reserve() const
{
  if (this->hosts == 0) {
    return 0;
  }
  return this->allowance.reserve * kReserveUtilization / static_cast<double>(this->hosts);
}

RetryBudget
ServiceRetryBudgets::NewBudget()
{
  const double reserve = this->Reserve();
  double initial = reserve;
  if (reserve < 1) {
    initial = std::bernoulli_distribution(reserve)(this->random) ? 1 : 0;
  }
  RetryBudget budget(this->allowance.share * kShareUtilization, initial);
  budget.SetReserve(reserve);
  return budget;
}

RetryBudget&
ServiceRetryBudgets::Of(const ServiceName& aService)
{
  const auto found = this->budgets.find(aService);
  if (found != this->budgets.end()) {
    return found->second;
  }
  return this->budgets.emplace(aService, this->NewBudget()).first->second;
}

} // namespace damasklink
