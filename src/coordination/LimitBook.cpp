#include "damasklink/coordination/LimitBook.h"

#include <algorithm>

#include "damasklink/state/Digests.h"
#include "damasklink/state/Text.h"

namespace damasklink {
namespace {

std::set<HostId>
Choose(const TargetId& aTarget, const std::set<HostId>& aHosts, std::size_t aCount)
{
  std::vector<std::pair<std::uint32_t, HostId>> ranked;
  ranked.reserve(aHosts.size());
  for (const HostId& host : aHosts) {
    ranked.emplace_back(ShortHash(Concat(host.Value(), " ", aTarget.Value())), host);
  }
  const std::size_t count = std::min(aCount, ranked.size());
  const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(ranked.begin(), end, ranked.end());
  std::set<HostId> chosen;
  for (auto rank = ranked.begin(); rank != end; ++rank) {
    chosen.insert(rank->second);
  }
  return chosen;
}

} // namespace

void
LimitBook::Take(const std::vector<LimitReport>& aReports)
{
  for (const LimitReport& report : aReports) {
    const auto found = this->limits.find(report.target);
    if (found != this->limits.end() && report.incarnation < found->second.incarnation) {
      continue;
    }
    if (report.limit) {
      this->limits[report.target] = Entry{ report.incarnation, *report.limit };
    } else if (found != this->limits.end()) {
      this->limits.erase(found);
    }
  }
}

void
LimitBook::KeepOnly(const std::function<bool(const TargetId&, Incarnation)>& aIsThere)
{
  std::erase_if(this->limits, [&](const auto& aItem) {
    return !aIsThere(aItem.first, aItem.second.incarnation);
  });
}

std::vector<TargetLimit>
LimitBook::Shares(const std::set<HostId>& aEntryHosts) const
{
  std::vector<TargetLimit> shares;
  for (const auto& [target, entry] : this->limits) {
    const double rate = std::max(entry.limit, kLeast).perSecond;
    const double most = std::max(rate / kLeastShare.perSecond, 1.0);
    const auto count = static_cast<std::size_t>(
      std::min(most, static_cast<double>(std::max<std::size_t>(aEntryHosts.size(), 1))));
    TargetLimit& limit = shares.emplace_back();
    limit.target = target;
    limit.incarnation = entry.incarnation;
    limit.limit = entry.limit;
    limit.share = RequestRate{ rate / static_cast<double>(count) };
    limit.hosts = Choose(target, aEntryHosts, count);
  }
  return shares;
}

std::vector<LimitReport>
LimitBook::All() const
{
  std::vector<LimitReport> reports;
  for (const auto& [target, entry] : this->limits) {
    reports.push_back(LimitReport{ target, entry.incarnation, entry.limit });
  }
  return reports;
}

} // namespace damasklink
