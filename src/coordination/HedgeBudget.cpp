#include "damasklink/coordination/HedgeBudget.h"

#include <algorithm>

namespace damasklink {

double
HedgeBudgets::Capacity(const Balance& aBalance) const
{
  const double burst = this->hosts == 0 ? 0 : kBurst / static_cast<double>(this->hosts);
  return burst + this->share * static_cast<double>(aBalance.calls + aBalance.callsBefore);
}

HedgeBudgets::Balance&
HedgeBudgets::Current(const ServiceName& aService, MonotonicTime aNow)
{
  Balance& balance = this->balances[aService];
  const Duration age = aNow - balance.since;
  if (age >= kInterval) {
    balance.callsBefore = age < 2 * kInterval ? balance.calls : 0;
    balance.calls = 0;
    balance.since = age < 2 * kInterval ? balance.since + kInterval : aNow;
  }
  balance.hedges = std::min(balance.hedges, this->Capacity(balance));
  return balance;
}

void
HedgeBudgets::OnCall(const ServiceName& aService, MonotonicTime aNow)
{
  if (!this->IsOn()) {
    return;
  }
  Balance& balance = this->Current(aService, aNow);
  ++balance.calls;
  balance.hedges += this->share;
}

bool
HedgeBudgets::TryTake(const ServiceName& aService, MonotonicTime aNow, RetryBudget& aRetries)
{
  if (!this->IsOn() || !aRetries.HasSurplus()) {
    return false;
  }
  Balance& balance = this->Current(aService, aNow);
  const double probability = std::min(balance.hedges, 1.0);
  balance.hedges -= probability;
  return std::bernoulli_distribution(probability)(this->random) && aRetries.TryTakeSurplus();
}

} // namespace damasklink
