// Keeps retries a small share of requests, so that an outage is not made worse by them.
#pragma once

namespace damasklink {

// Each request pays a share of a retry in; each retry takes a whole one out.
//
//   RetryBudget budget;
//   budget.OnRequest();
//   if (budget.TryTake()) ...   // Retry.
//
// Over any stretch of n requests at most aShare * n + aReserve retries are allowed. Not
// thread-safe.
class RetryBudget
{
public:
  static constexpr double kShare = 0.08;
  // Saved up at most, and given at the start, so that a quiet host can retry at all.
  static constexpr double kReserve = 8;

  RetryBudget() = default;
  // aShare of a retry for each request, aReserve at the start. At least one whole retry can be
  // saved up, or a small reserve would forbid them for good.
  RetryBudget(double aShare, double aReserve)
    : share(aShare)
    , reserve(aReserve)
    , balance(aReserve)
  {
  }

  void OnRequest();

  // Changes what may be saved up. What is saved up beyond it is lost; nothing is given.
  void SetReserve(double aReserve);

  // Returns whether a retry is allowed, and pays for it.
  bool TryTake();

private:
  double share = kShare;
  double reserve = kReserve;
  double balance = kReserve;
};

} // namespace damasklink
