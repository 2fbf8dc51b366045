#include "damasklink/coordination/TargetTurns.h"

#include <algorithm>

#include "damasklink/state/Digests.h"

namespace damasklink {
namespace {

// The finalizer of SplitMix64: each bit of the result depends on all bits of the number.
std::uint64_t
Mix(std::uint64_t aNumber)
{
  constexpr std::uint64_t kGamma = 0x9e3779b97f4a7c15;
  constexpr std::uint64_t kFirst = 0xbf58476d1ce4e5b9;
  constexpr std::uint64_t kSecond = 0x94d049bb133111eb;
  std::uint64_t mixed = aNumber + kGamma;
  mixed = (mixed ^ (mixed >> 30U)) * kFirst;
  mixed = (mixed ^ (mixed >> 27U)) * kSecond;
  return mixed ^ (mixed >> 31U);
}

} // namespace

TargetTurns::TargetTurns(const Clock& aClock, const HostId& aSelf)
  : clock(aClock)
  , self(MixedHash(aSelf.Value()))
{
}

// Turns of different targets begin at different times.
std::uint64_t
TargetTurns::TurnOf(const TargetId& aTarget) const
{
  const auto length = static_cast<std::uint64_t>(kTurn.count());
  const auto now =
    static_cast<std::uint64_t>(this->clock.MonotonicNow().time_since_epoch().count());
  return (now + Mix(ShortHash(aTarget.Value())) % length) / length;
}

double
TargetTurns::ShareOf(std::uint64_t aHosts, std::uint64_t aTargets)
{
  if (aHosts == 0 || aTargets == 0) {
    return 1;
  }
  return std::min(1.0,
                  std::max(kHostsPerTurn / static_cast<double>(aHosts),
                           kTargetsPerHost / static_cast<double>(aTargets)));
}

bool
TargetTurns::Has(const TargetId& aTarget, double aShare) const
{
  if (aShare >= 1) {
    return true;
  }
  const std::uint64_t drawn =
    Mix(Mix(ShortHash(aTarget.Value())) ^ Mix(this->self ^ Mix(this->TurnOf(aTarget))));
  constexpr double kRange = 18446744073709551616.0; // 2^64
  return static_cast<double>(drawn) < aShare * kRange;
}

void
TargetTurns::OnSent(const TargetId& aTarget, const LoadCounts& aLoad)
{
  if (this->sends.size() >= kMostSends) {
    absl::erase_if(this->sends, [this](const auto& aItem) {
      return aItem.second.turn != this->TurnOf(aItem.first);
    });
  }
  const std::uint64_t turn = this->TurnOf(aTarget);
  OwnSends& own = this->sends[aTarget];
  if (own.turn != turn) {
    own = OwnSends{ turn, LoadCounts() };
  }
  own.load += aLoad;
}

LoadCounts
TargetTurns::Unseen(const TargetId& aTarget) const
{
  const auto found = this->sends.find(aTarget);
  if (found == this->sends.end() || found->second.turn != this->TurnOf(aTarget)) {
    return LoadCounts();
  }
  return found->second.load;
}

} // namespace damasklink
