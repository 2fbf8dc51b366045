// This host's part of the operator's limit on hedges, for each service.
//
//   HedgeBudgets budgets(share, seed);
//   budgets.SetHosts(9);
//   budgets.OnCall(service, now);
//   if (budgets.TryTake(service, now, retries.Of(service))) ...    // Send one hedge.
//
// All hosts together may hedge the share of the calls, and kBurst more at once. Each host enforces
// its part without coordination: the share of its own calls, and kBurst divided by the number of
// hosts. What the calls of one second allow is lost if it is not used by the end of the next, and a
// host starts with nothing, so hosts that come, go or are cut off add nothing to the limit.
//
// A host of many has less than one hedge at a time. It then sends one by chance, with the
// probability that it has, and gives up what it has in either case: hosts that each saved for a
// whole hedge could spend hundreds at the same moment.
//
// A hedge also takes a retry from the shared budget, of those only that real failures leave
// (RetryBudget::TryTakeSurplus()). Not thread-safe.
#pragma once

#include <map>
#include <random>

#include "damasklink/coordination/RetryBudget.h"
#include "damasklink/state/Clock.h"
#include "damasklink/state/Ids.h"

namespace damasklink {

class HedgeBudgets
{
public:
  // Hedges of all hosts together beyond the share of the calls of the last seconds.
  static constexpr double kBurst = 40;
  static constexpr Duration kInterval = std::chrono::seconds(1);

  HedgeBudgets() = default;
  // A share of zero allows no hedges.
  HedgeBudgets(double aShare, std::uint64_t aSeed)
    : share(aShare)
    , random(aSeed)
  {
  }

  bool IsOn() const { return this->share > 0; }

  // Sets the number of hosts that share the limit. Zero means unknown and gives no part of the
  // burst.
  void SetHosts(std::uint64_t aHosts) { this->hosts = aHosts; }

  void OnCall(const ServiceName& aService, MonotonicTime aNow);

  // Returns whether a hedge may be sent, and if so deducts it here and from the retry budget.
  bool TryTake(const ServiceName& aService, MonotonicTime aNow, RetryBudget& aRetries);

private:
  struct Balance
  {
    MonotonicTime since;
    // Calls of this interval and of the one before.
    std::uint64_t calls = 0;
    std::uint64_t callsBefore = 0;
    double hedges = 0;
  };

  Balance& Current(const ServiceName& aService, MonotonicTime aNow);
  double Capacity(const Balance& aBalance) const;

  double share = 0;
  std::uint64_t hosts = 0;
  std::mt19937_64 random;
  std::map<ServiceName, Balance> balances;
};

} // namespace damasklink
