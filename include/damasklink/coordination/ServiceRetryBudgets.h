// The part of the shared retry budget that one host may use, for each service.
//
// All hosts together may send, beyond the first send of each call, a share of the calls for a
// service and a reserve in each window. Each host keeps to its part without asking the others: the
// share of its own calls, and the reserve divided by the number of entry hosts.
//
//   ServiceRetryBudgets shares(allowance);
//   shares.SetHosts(9);
//   shares.OnCall(service);
//   shares.Of(service).TryTake();
//
// Not thread-safe.
#pragma once

#include <map>

#include "damasklink/coordination/RetryBudget.h"
#include "damasklink/state/Ids.h"
#include "damasklink/state/ServingSettings.h"

namespace damasklink {

class ServiceRetryBudgets
{
public:
  // What is used of the share; the rest covers calls that are counted in another window than
  // their repeats.
  static constexpr double kShareUtilization = 0.8;
  // What is used of the reserve: a host that is restarted begins with a full one, and may be
  // restarted once in a window.
  static constexpr double kReserveUtilization = 0.45;

  explicit ServiceRetryBudgets(RetryAllowance aAllowance)
    : allowance(aAllowance)
  {
  }

  // Tells how many entry hosts share the budget. Zero, not known, counts as very many. Only the
  // first count brings a full reserve: hosts that come and go must not bring a new one each time.
  void SetHosts(std::uint64_t aHosts);

  void OnCall(const ServiceName& aService) { this->Of(aService).OnRequest(); }
  RetryBudget& Of(const ServiceName& aService);

private:
  double Reserve() const;
  RetryBudget Fresh() const;

  RetryAllowance allowance;
  std::uint64_t hosts = 0;
  bool hostsKnown = false;
  std::map<ServiceName, RetryBudget> budgets;
};

} // namespace damasklink
