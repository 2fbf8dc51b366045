// Decides which hosts may send to a target while most targets of its service are loaded.
//
//   TargetTurns turns(clock, ownHost);
//   if (turns.Has(target, TargetTurns::ShareOf(hosts, targets))) ...
//   turns.OnSent(target, load);
//   turns.Unseen(target);             // What the other hosts of the turn may have sent meanwhile.
//
// Hosts learn of each other's sends some hundred milliseconds late. If all of them could send to a
// target in which room has just become free while others are full, all would, and overfill it many
// times over. Each host therefore has its turn at a target at random times, so that a few hosts
// have it at once, and leaves as much of the room to the others of its turn as it uses. The draw is
// a hash of target, host and time: it needs no messages, and hosts that come and go change nothing
// but the odds. Turns of different targets begin at different times.
//
// Not thread-safe.
#pragma once

#include <cstdint>

#include <absl/container/flat_hash_map.h>

#include "damasklink/coordination/InFlightLoadSum.h"
#include "damasklink/state/Clock.h"
#include "damasklink/state/Ids.h"

namespace damasklink {

class TargetTurns
{
public:
  // About as long as hosts take to learn of each other's sends.
  static constexpr Duration kTurn = std::chrono::milliseconds(200);
  // Hosts that have their turn at a target at the same time, on average. With one, the turn would
  // often be that of a host that has nothing to send.
  static constexpr double kHostsPerTurn = 2;

  // Targets at which a host has its turn at the same time, on average. With fewer, hosts that are
  // more numerous than targets would often find none.
  static constexpr double kTargetsPerHost = 5;

  TargetTurns(const Clock& aClock, const HostId& aSelf);

  // Returns the share of all turns at a target that a host has, where so many hosts send to so many
  // targets. With few of either, hosts have their turns always.
  static double ShareOf(std::uint64_t aHosts, std::uint64_t aTargets);

  // Returns whether this host has its turn now.
  bool Has(const TargetId& aTarget, double aShare) const;

  // Records that this host has sent a call.
  void OnSent(const TargetId& aTarget, const LoadCounts& aLoad);

  // Returns the load that other hosts are assumed to have put on the target in this turn: as much
  // as this host, which each of them sees only later.
  LoadCounts Unseen(const TargetId& aTarget) const;

  // Returns how many targets' sends are kept.
  std::size_t Remembered() const { return this->sends.size(); }

private:
  struct OwnSends
  {
    std::uint64_t turn = 0;
    LoadCounts load;
  };

  // Sends of earlier turns are forgotten when there are more than this.
  static constexpr std::size_t kMostSends = 1024;

  std::uint64_t TurnOf(const TargetId& aTarget) const;

  const Clock& clock;
  std::uint64_t self;
  // What this host has sent to each target in the last turn in which it sent something.
  absl::flat_hash_map<TargetId, OwnSends> sends;
};

} // namespace damasklink
