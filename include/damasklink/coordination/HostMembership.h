// Which hosts of the system are up, by heartbeats that carry what the sender heard of others.
#pragma once

#include <map>
#include <vector>

#include "damasklink/state/Clock.h"
#include "damasklink/state/Settings.h"

namespace damasklink {

// A host as a heartbeat names it: 32 bits in place of its id, to keep heartbeats small.
using HostHash = std::uint32_t;

HostHash
HashOfHost(const HostId& aHost);

// What one host last heard of another.
struct HostSighting
{
  HostHash host = 0;
  Incarnation incarnation;
  Sequence sequence;
  bool leaving = false;

  bool operator==(const HostSighting&) const = default;
};

// One heartbeat.
struct Heartbeat
{
  Incarnation incarnation;
  Sequence sequence;
  bool leaving = false;
  // The sender's configuration, and how long ago the leader was known to agree with it.
  Revision revision;
  Duration confirmedAge{ 0 };
  std::vector<HostSighting> others;

  bool operator==(const Heartbeat&) const = default;
};

// Tells hosts that are up from those that are silent or leaving.
//
//   HostMembership membership(clock, settings, incarnation);
//   if (membership.AdvanceIfDue()) { send membership.MakeHeartbeat() to membership.CurrentPeer(); }
//   membership.OnHeartbeat(from, heartbeat);
//
// One heartbeat an interval goes to one peer in turn, whatever the number of hosts; what it says of
// others makes a sign of life reach everybody in a few rounds. A restart has a higher incarnation;
// sightings of an older one are never taken. Leaving sticks for an incarnation. Not thread-safe.
class HostMembership
{
public:
  static constexpr Duration kInterval = std::chrono::seconds(1);
  static constexpr Duration kFailureTimeout = std::chrono::seconds(8);
  // Sightings in one heartbeat; where there are more hosts they take turns.
  static constexpr std::size_t kMaxSightings = 16;

  HostMembership(const Clock& aClock, const HostSettings& aSettings, Incarnation aIncarnation);

  // Returns whether a heartbeat is due, and if so begins the next interval with the next partner.
  bool AdvanceIfDue();

  // Returns the peer whose turn it is, empty when there is none.
  HostId CurrentPeer() const;

  // Returns this host's next heartbeat; revision and confirmedAge are for the caller to fill.
  Heartbeat MakeHeartbeat();

  void OnHeartbeat(const HostId& aFrom, const Heartbeat& aHeartbeat);

  // Makes all later heartbeats say that this host is leaving.
  void Leave() { this->leaving = true; }

  // Returns whether the host was heard of within kFailureTimeout and is not leaving. A host is
  // taken for up for the first kFailureTimeout of this process, before anything was heard.
  bool IsUp(const HostId& aHost) const;

  // Returns the host after this one in the order of (zone, host) that is up, empty when alone.
  HostId NextHostUp() const;

  Incarnation OwnIncarnation() const { return this->incarnation; }

private:
  struct Entry
  {
    HostId host;
    Incarnation incarnation;
    Sequence sequence;
    bool leaving = false;
    MonotonicTime heardAt;
  };

  void Merge(const HostSighting& aSighting);

  const Clock& clock;
  HostId self;
  Incarnation incarnation;
  Sequence sequence;
  bool leaving = false;
  MonotonicTime nextHeartbeatAt;
  std::size_t peerPosition = 0;
  std::size_t nextSighting = 0;
  // All other hosts, in the order that follows this one around the ring of (zone, host).
  std::vector<Entry> others;
  std::map<HostHash, std::size_t> byHash;
};

} // namespace damasklink
