#include "damasklink/coordination/RateLimitAllocator.h"

#include <algorithm>
#include <iterator>

#include "damasklink/state/Digests.h"
#include "damasklink/state/Text.h"

namespace damasklink {
namespace {

struct RankedHost
{
  std::uint32_t hash;
  SubsetKey subset;
  const HostId* host;
};

// Hashes the name of each host once rather than once per target, since shares are computed many
// times a second for hundreds of hosts and dozens of targets.
std::vector<RankedHost>
HashHosts(const std::set<HostId>& aHosts)
{
  std::vector<RankedHost> hashed;
  hashed.reserve(aHosts.size());
  for (const HostId& host : aHosts) {
    hashed.push_back(RankedHost{ ShortHash(host.Value()), SubsetKeyOf(host), &host });
  }
  return hashed;
}

// Mixes two hashes into one whose order does not depend on theirs. The result is the same in all
// builds.
std::uint32_t
MixHashes(std::uint32_t aLeft, std::uint32_t aRight)
{
  std::uint64_t mixed = (static_cast<std::uint64_t>(aLeft) << 32U) | aRight;
  mixed = (mixed ^ (mixed >> 33U)) * 0xff51afd7ed558ccdU;
  mixed = (mixed ^ (mixed >> 33U)) * 0xc4ceb9fe1a85ec53U;
  return static_cast<std::uint32_t>(mixed >> 32U);
}

// Returns the hosts that use a target of a service with that number of subsets.
std::vector<RankedHost>
HostsUsing(const TargetId& aTarget, std::uint32_t aSubsets, const std::vector<RankedHost>& aHosts)
{
  const SubsetKey target = SubsetKeyOf(aTarget);
  std::vector<RankedHost> users;
  std::copy_if(aHosts.begin(),
               aHosts.end(),
               std::back_inserter(users),
               [&](const RankedHost& aHost) { return IsInSubset(aSubsets, aHost.subset, target); });
  return users;
}

std::set<HostId>
ChooseHosts(const TargetId& aTarget, const std::vector<RankedHost>& aHosts, std::size_t aCount)
{
  const std::uint32_t target = ShortHash(aTarget.Value());
  std::vector<RankedHost> ranked = aHosts;
  for (RankedHost& rank : ranked) {
    rank.hash = MixHashes(target, rank.hash);
  }
  const std::size_t count = std::min(aCount, ranked.size());
  const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(count);
  const auto isBefore = [](const RankedHost& aLeft, const RankedHost& aRight) {
    return aLeft.hash != aRight.hash ? aLeft.hash < aRight.hash : *aLeft.host < *aRight.host;
  };
  std::partial_sort(ranked.begin(), end, ranked.end(), isBefore);
  std::set<HostId> chosen;
  for (auto rank = ranked.begin(); rank != end; ++rank) {
    chosen.insert(*rank->host);
  }
  return chosen;
}

// Cold targets whose rate is divided at a time. All shares are sent to all entry hosts together,
// over links that calls use too. When hundreds of targets start at once, those beyond this number
// get no requests until they or others are warm.
constexpr std::size_t kMaxColdTargets = 64;

// The number of hosts that share a rate, and the share of each.
struct Division
{
  std::size_t hosts = 1;
  RequestRate share;
};

Division
DivideLimit(RequestRate aRate, std::size_t aHosts)
{
  const double maxHosts = std::max(aRate.perSecond / RateLimitAllocator::kMinShare.perSecond, 1.0);
  const double hosts = static_cast<double>(std::max<std::size_t>(aHosts, 1));
  const auto count = static_cast<std::size_t>(std::min(maxHosts, hosts));
  return Division{ count, RequestRate{ aRate.perSecond / static_cast<double>(count) } };
}

// The rate of a cold target must hold in every single second. A host that sends evenly reaches its
// share rounded up in some seconds, so shares are whole numbers. Of the divisions that use most of
// the rate, the one with the most hosts is chosen.
Division
DivideColdRate(RequestRate aRate, std::size_t aHosts)
{
  const auto wholeRate = static_cast<std::size_t>(aRate.perSecond);
  Division best{ 1, aRate };
  std::size_t used = 0;
  for (std::size_t count = 1; count <= std::min(wholeRate, aHosts); ++count) {
    const std::size_t share = wholeRate / count;
    if (count * share >= used) {
      used = count * share;
      best = Division{ count, RequestRate{ static_cast<double>(share) } };
    }
  }
  return best;
}

} // namespace

void
RateLimitAllocator::Update(const std::vector<LimitReport>& aReports)
{
  for (const LimitReport& report : aReports) {
    const auto found = this->limits.find(report.target);
    const bool known = found != this->limits.end();
    if (known && report.incarnation < found->second.incarnation) {
      continue;
    }
    if (report.limit) {
      Entry& entry = this->limits[report.target];
      if (entry.incarnation != report.incarnation) {
        entry = Entry();
      }
      entry.incarnation = report.incarnation;
      entry.limit = report.limit;
    } else if (known && found->second.coldFor > Duration::zero()) {
      found->second.limit.reset();
    } else if (known) {
      this->limits.erase(found);
    }
  }
}

void
RateLimitAllocator::UpdateColdTarget(const ColdTarget& aCold, MonotonicTime aNow)
{
  Entry& entry = this->limits[aCold.target];
  if (aCold.incarnation < entry.incarnation) {
    return;
  }
  if (aCold.incarnation > entry.incarnation) {
    entry = Entry();
    entry.incarnation = aCold.incarnation;
  }
  const MonotonicTime until = aNow + aCold.coldFor;
  const bool sameEnd =
    entry.coldFor > Duration::zero() && until <= entry.coldUntil + kColdEndTolerance;
  if (!sameEnd) {
    entry.coldFor = aCold.coldFor;
    entry.coldUntil = until;
  }
  entry.coldRate = aCold.rate;
}

void
RateLimitAllocator::RemoveWarmTargets(MonotonicTime aNow)
{
  for (auto& [target, entry] : this->limits) {
    if (entry.coldUntil <= aNow) {
      entry.coldFor = Duration::zero();
    }
  }
  std::erase_if(this->limits, [](const auto& aItem) {
    return aItem.second.coldFor == Duration::zero() && !aItem.second.limit;
  });
}

void
RateLimitAllocator::KeepOnly(const std::function<bool(const TargetId&, Incarnation)>& aIsThere)
{
  std::erase_if(this->limits, [&](const auto& aItem) {
    return !aIsThere(aItem.first, aItem.second.incarnation);
  });
}

std::vector<TargetLimit>
RateLimitAllocator::Shares(const std::set<HostId>& aEntryHosts,
                           const SubsetCountLookup& aSubsets) const
{
  std::vector<TargetLimit> shares;
  const std::vector<RankedHost> all = HashHosts(aEntryHosts);
  std::size_t coldDivided = 0;
  for (const auto& [target, entry] : this->limits) {
    const RequestRate limitRate = std::max(entry.limit.value_or(RequestRate()), kMinRate);
    const bool cold = entry.coldFor > Duration::zero();
    if (cold && !entry.limit && ++coldDivided > kMaxColdTargets) {
      continue;
    }
    const std::uint32_t subsets = aSubsets ? aSubsets(target) : 1;
    const std::vector<RankedHost> hosts = HostsUsing(target, subsets, all);
    const bool coldApplies = cold && (!entry.limit || entry.coldRate < limitRate);
    const Division division = coldApplies ? DivideColdRate(entry.coldRate, hosts.size())
                                          : DivideLimit(limitRate, hosts.size());
    TargetLimit& limit = shares.emplace_back();
    limit.target = target;
    limit.incarnation = entry.incarnation;
    limit.limit = entry.limit;
    limit.share = division.share;
    limit.hosts = ChooseHosts(target, hosts, division.hosts);
    limit.coldFor = entry.coldFor;
  }
  return shares;
}

std::vector<LimitReport>
RateLimitAllocator::All() const
{
  std::vector<LimitReport> reports;
  for (const auto& [target, entry] : this->limits) {
    if (entry.limit) {
      reports.push_back(LimitReport{ target, entry.incarnation, entry.limit });
    }
  }
  return reports;
}

} // namespace damasklink
