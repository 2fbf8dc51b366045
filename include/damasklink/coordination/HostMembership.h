// Detects which hosts of the system are up, by heartbeats that also carry what the sender knows of
// other hosts.
#pragma once

#include <map>
#include <vector>

#include "damasklink/state/Clock.h"
#include "damasklink/state/Settings.h"

namespace damasklink {

// A 32-bit hash of a host's id, which heartbeats carry in place of the id to stay small.
using HostHash = std::uint32_t;

HostHash
HashOfHost(const HostId& aHost);

// What a host knows of the last heartbeat of another one.
struct HostSighting
{
  HostHash host = 0;
  Incarnation incarnation;
  Sequence sequence;
  bool leaving = false;

  bool operator==(const HostSighting&) const = default;
};

// Sent from one host to another at regular intervals.
struct Heartbeat
{
  Incarnation incarnation;
  Sequence sequence;
  bool leaving = false;
  // Revision of the sender's configuration, and the time since it was last confirmed by the leader.
  Revision revision;
  Duration confirmedAge{ 0 };
  std::vector<HostSighting> others;

  bool operator==(const Heartbeat&) const = default;
};

// Detects hosts that are down or leaving.
//
//   HostMembership membership(clock, settings, incarnation);
//   if (membership.AdvanceIfDue()) { send membership.MakeHeartbeat() to membership.CurrentPeer(); }
//   membership.OnHeartbeat(from, heartbeat);
//
// Sends one heartbeat per interval, to each peer in turn, independently of the number of hosts.
// Because heartbeats carry sightings of other hosts, each heartbeat becomes known to all hosts
// within a few rounds. A restarted host has a higher incarnation; sightings of earlier incarnations
// are ignored. Once an incarnation is leaving, it stays so. Not thread-safe.
class HostMembership
{
public:
  // Time between two heartbeats of a host.
  static constexpr Duration kInterval = std::chrono::seconds(1);
  // Time without a new heartbeat after which a host counts as down.
  static constexpr Duration kFailureTimeout = std::chrono::seconds(8);
  // Maximum number of sightings in one heartbeat. If there are more hosts, they are included in
  // turn.
  static constexpr std::size_t kMaxSightings = 16;

  HostMembership(const Clock& aClock, const HostSettings& aSettings, Incarnation aIncarnation);

  // Returns whether a heartbeat is due. If so, starts the next interval and advances to the next
  // peer.
  bool AdvanceIfDue();

  // Returns the peer to send the next heartbeat to, empty if there is no other host.
  HostId CurrentPeer() const;

  // Returns this host's next heartbeat. The caller sets revision and confirmedAge.
  Heartbeat MakeHeartbeat();

  // Processes a heartbeat from another host, including its sightings.
  void OnHeartbeat(const HostId& aFrom, const Heartbeat& aHeartbeat);

  // Makes all later heartbeats report that this host is leaving.
  void Leave() { this->leaving = true; }

  // Returns whether a new heartbeat of the host was heard of within kFailureTimeout and it is not
  // leaving. During the first kFailureTimeout of this process, hosts that were not heard of yet
  // count as up.
  bool IsUp(const HostId& aHost) const;

  // Returns the next host that is up after this one in the ring of (zone, host), empty if there is
  // none.
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
  // All other hosts, in ring order of (zone, host) starting after this host.
  std::vector<Entry> others;
  std::map<HostHash, std::size_t> byHash;
};

} // namespace damasklink
