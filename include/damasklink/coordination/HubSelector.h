// Which control host an entry host tells what it has where, its hub.
//
//   HubSelector choice(clock, zone);
//   choice.Choose(candidates);        // Those that have spoken on their connections.
//   choice.OnReportSent();                  // The hub was told something, and owes its sums.
//   choice.OnMessageFrom(host);
//   choice.OnLost(host);
//
// All hosts of a zone choose the same one as long as they reach the same ones: one of their zone,
// where bytes are cheap, or else the first, and rather one that hears a leader. A hub that owes its
// sums for long is passed over until it speaks again: a control host that is suspended keeps its
// connections, and accepts new ones, for as long as nobody gives them up, while the entry hosts
// that tell it do not hear of each other. Not thread-safe.
#pragma once

#include <optional>
#include <set>
#include <vector>

#include "damasklink/state/Clock.h"
#include "damasklink/state/Ids.h"

namespace damasklink {

struct HubCandidate
{
  HostId host;
  ZoneId zone;
  // It hears a leader.
  bool hearsLeader = false;
};

class HubSelector
{
public:
  // A hub that was told something tells its sums within 50 ms. Ten times that is long under any
  // load, and a third of the time after which a silent connection is given up.
  static constexpr Duration kReplyTimeout = std::chrono::milliseconds(500);

  HubSelector(const Clock& aClock, ZoneId aZone)
    : clock(aClock)
    , zone(std::move(aZone))
  {
  }

  // Returns the hub from now on; nothing without a candidate.
  std::optional<HostId> Choose(const std::vector<HubCandidate>& aCandidates);

  const std::optional<HostId>& Hub() const { return this->hub; }

  void OnReportSent();
  void OnMessageFrom(const HostId& aHost);

  // The connection to the control host is lost; it has forgotten what it was told.
  void OnLost(const HostId& aHost);

private:
  int RankOf(const HubCandidate& aCandidate) const;

  const Clock& clock;
  ZoneId zone;
  std::optional<HostId> hub;
  // Since when the hub owes its sums.
  std::optional<MonotonicTime> awaitingReplySince;
  // Those that owed their sums for too long and have said nothing since.
  std::set<HostId> quiet;
};

} // namespace damasklink
