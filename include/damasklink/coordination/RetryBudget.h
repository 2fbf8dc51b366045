// Limits retries to a small share of requests, so that they do not make an outage worse.
#pragma once

namespace damasklink {

// A token bucket: each request adds a share of a token, each retry takes a whole one.
//
//   RetryBudget budget;
//   budget.OnRequest();
//   if (budget.TryTake()) ...   // Retry.
//
// What requests add beyond the capacity is a surplus of up to kMaxSurplus, for extra work that is
// no retry after a failure. Such work thus never takes what failures may need.
//
// Within any n consecutive requests at most aShare * n + aReserve retries are allowed, and with the
// extra work at most kMaxSurplus more. Not thread-safe.
class RetryBudget
{
public:
  static constexpr double kShare = 0.08;
  // Capacity and initial balance, in retries, so that a host with few requests can retry at all.
  static constexpr double kReserve = 8;
  static constexpr double kMaxSurplus = 1;

  RetryBudget() = default;
  // Adds aShare for each request and starts with aReserve. The capacity is at least one retry, as a
  // smaller one would never allow any.
  RetryBudget(double aShare, double aReserve)
    : share(aShare)
    , reserve(aReserve)
    , balance(aReserve)
  {
  }

  void OnRequest();

  // Changes the capacity. Balance beyond it is lost; a larger capacity adds no balance.
  void SetReserve(double aReserve);

  // Returns whether a retry is allowed.
  bool Allows() const { return this->balance >= 1; }

  // Returns whether a retry is allowed, and if so deducts it from the balance.
  bool TryTake();

  // The same for the surplus.
  bool HasSurplus() const { return this->surplus >= 1; }
  bool TryTakeSurplus();

private:
  double share = kShare;
  double reserve = kReserve;
  double balance = kReserve;
  double surplus = 0;
};

} // namespace damasklink
