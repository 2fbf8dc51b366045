// Divides what targets take among entry hosts, on a control host.
//
//   LimitBook book;
//   book.Take(reports);              // From entry hosts and other control hosts.
//   book.TakeCold(target, now);      // It bears a few requests only for a while.
//   book.ForgetWarm(now);
//   book.Shares(allEntryHosts);      // For entry hosts.
//
// A target's limit is that of all hosts together, and may be a few requests a second before
// hundreds of hosts. A part for each host would be too small to use, and one request of each in
// reserve is more than the target takes. So a few hosts are chosen for each target, by rendezvous
// hashing: all control hosts choose the same ones without asking each other, and the loss of a host
// moves its share alone. Not thread-safe.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "damasklink/coordination/ServingMessages.h"
#include "damasklink/state/Clock.h"

namespace damasklink {

// A target that bears a few requests only for a while.
struct ColdTarget
{
  TargetId target;
  Incarnation incarnation;
  Duration coldFor{ 0 };
  // What it bears from all hosts together.
  RequestRate rate;

  bool operator==(const ColdTarget&) const = default;
};

class LimitBook
{
public:
  // The least that is divided: a target that names zero is asked now and then whether it still
  // does.
  static constexpr RequestRate kLeast{ 0.2 };
  // A chosen host sends at least so much where the limit allows it.
  static constexpr RequestRate kLeastShare{ 1 };
  // A target that tells how long it stays cold says about the same each time; entry hosts are told
  // again only when its end has moved by more.
  static constexpr Duration kSameEnd = std::chrono::milliseconds(300);

  // A later report takes the place of an earlier one of the same start of the target.
  void Take(const std::vector<LimitReport>& aReports);

  void TakeCold(const ColdTarget& aCold, MonotonicTime aNow);

  // Forgets which targets were cold until now.
  void ForgetWarm(MonotonicTime aNow);

  // Forgets the targets that are not there any more.
  void KeepOnly(const std::function<bool(const TargetId&, Incarnation)>& aIsThere);

  bool IsEmpty() const { return this->limits.empty(); }

  std::vector<TargetLimit> Shares(const std::set<HostId>& aEntryHosts) const;

  // Returns all limits that targets name, for a control host that was just connected.
  std::vector<LimitReport> All() const;

private:
  struct Entry
  {
    Incarnation incarnation;
    // Nothing where the target names none.
    std::optional<RequestRate> limit;
    // Zero for a warm target; the next two are then without meaning.
    Duration coldFor{ 0 };
    RequestRate coldRate;
    MonotonicTime coldUntil;
  };

  std::map<TargetId, Entry> limits;
};

} // namespace damasklink
