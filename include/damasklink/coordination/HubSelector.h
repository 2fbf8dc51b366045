// Selects the hub of an entry host: the control host to which it sends its load reports.
//
//   HubSelector choice(clock, zone);
//   choice.Choose(candidates);     // Control hosts that have sent something on their connection.
//   choice.OnReportSent();         // The hub now has to reply with its sums.
//   choice.OnMessageFrom(host);
//   choice.OnLost(host);
//
// A control host that has contact with a leader is preferred, then one of the own zone, where
// traffic is cheap, then the first of the candidates (ControlHostSelector::ByHubPreference()). A
// hub that does not reply within kReplyTimeout is avoided until it sends something again. A
// suspended control host keeps its connections open and accepts new ones until its peers close
// them, and meanwhile the entry hosts that report to it would not learn of each other's load. Not
// thread-safe.
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
  // The control host has contact with a leader.
  bool hearsLeader = false;
};

class HubSelector
{
public:
  // A hub replies to a report with its sums within 50 ms. Ten times that suffices under any load,
  // and is a third of the time after which a silent connection is closed.
  static constexpr Duration kReplyTimeout = std::chrono::milliseconds(500);

  HubSelector(const Clock& aClock, ZoneId aZone)
    : clock(aClock)
    , zone(std::move(aZone))
  {
  }

  // Selects and returns the hub; nothing if there is no candidate.
  std::optional<HostId> Choose(const std::vector<HubCandidate>& aCandidates);

  const std::optional<HostId>& Hub() const { return this->hub; }

  // A report was sent to the hub.
  void OnReportSent();

  // A message from a control host was received.
  void OnMessageFrom(const HostId& aHost);

  // The connection to the control host was lost, and with it the state of earlier reports.
  void OnLost(const HostId& aHost);

private:
  int RankOf(const HubCandidate& aCandidate) const;

  const Clock& clock;
  ZoneId zone;
  std::optional<HostId> hub;
  // When the oldest report without a reply was sent to the hub.
  std::optional<MonotonicTime> awaitingReplySince;
  // Control hosts that did not reply in time and have sent nothing since.
  std::set<HostId> unresponsive;
};

} // namespace damasklink
