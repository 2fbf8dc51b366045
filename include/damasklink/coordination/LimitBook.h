// Divides what targets take among entry hosts, on a control host.
//
//   LimitBook book;
//   book.Take(reports);              // From entry hosts and other control hosts.
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
#include <set>
#include <vector>

#include "damasklink/coordination/ServingPicture.h"

namespace damasklink {

class LimitBook
{
public:
  // The least that is divided: a target that names zero is asked now and then whether it still
  // does.
  static constexpr RequestRate kLeast{ 0.2 };
  // A chosen host sends at least so much where the limit allows it.
  static constexpr RequestRate kLeastShare{ 1 };

  // A later report takes the place of an earlier one of the same start of the target.
  void Take(const std::vector<LimitReport>& aReports);

  // Forgets the targets that are not there any more.
  void KeepOnly(const std::function<bool(const TargetId&, Incarnation)>& aIsThere);

  bool IsEmpty() const { return this->limits.empty(); }

  std::vector<TargetLimit> Shares(const std::set<HostId>& aEntryHosts) const;

  // Returns all that is known, for a control host that was just connected.
  std::vector<LimitReport> All() const;

private:
  struct Entry
  {
    Incarnation incarnation;
    RequestRate limit;
  };

  std::map<TargetId, Entry> limits;
};

} // namespace damasklink
