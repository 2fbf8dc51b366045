// This host's part of the retry budget of each service.
//
// For each service and window, all hosts together may send a share of the calls and a reserve as
// retries. Each host enforces its part without coordination: the share of its own calls, and the
// reserve divided by the number of entry hosts. Where there are more hosts than retries in the
// reserve, some hosts, drawn at random, start with a whole retry and the others with none: hosts
// that all had a fraction of one could not use the reserve.
//
//   ServiceRetryBudgets budgets(allowance, seed);
//   budgets.SetHosts(9);
//   budgets.OnCall(service);
//   budgets.Of(service).TryTake();
//
// Not thread-safe.
#pragma once

#include <map>
#include <random>

#include "damasklink/coordination/RetryBudget.h"
#include "damasklink/state/Ids.h"
#include "damasklink/state/ServingSettings.h"

namespace damasklink {

class ServiceRetryBudgets
{
public:
  // Part of the share that is used. The rest covers calls that are counted in another window than
  // their retries.
  static constexpr double kShareUtilization = 0.8;
  // Part of the reserve that is used. A restarted host starts with a full reserve, and may restart
  // once in a window.
  static constexpr double kReserveUtilization = 0.45;

  ServiceRetryBudgets(RetryAllowance aAllowance, std::uint64_t aSeed)
    : allowance(aAllowance)
    , random(aSeed)
  {
  }

  // Sets the number of entry hosts that share the budget. Zero means unknown and gives no reserve.
  // Only the first known number grants a full reserve: later changes must not grant a new one.
  void SetHosts(std::uint64_t aHosts);

  void OnCall(const ServiceName& aService) { this->Of(aService).OnRequest(); }
  RetryBudget& Of(const ServiceName& aService);

private:
  double Reserve() const;
  RetryBudget NewBudget();

  RetryAllowance allowance;
  std::mt19937_64 random;
  std::uint64_t hosts = 0;
  bool hostsKnown = false;
  std::map<ServiceName, RetryBudget> budgets;
};

} // namespace damasklink
