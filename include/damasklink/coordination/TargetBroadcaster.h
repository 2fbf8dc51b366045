// How every host learns of targets that announce themselves to one of them.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "damasklink/coordination/TargetRegistry.h"

namespace damasklink {

enum class TargetsMessageKind : std::uint8_t
{
  Records = 1, // Whole records that are new or changed.
  Refresh = 2, // Signs of life and load of all targets that announce themselves to the sender.
  Silent = 3,  // Targets that stopped announcing themselves to the sender.
  Ask = 4,     // "Send me the records of all your targets."
};

// A sign of life, load included; 24 bytes on the wire.
struct TargetKeepalive
{
  // ShortHash() of the target's id.
  std::uint32_t target = 0;
  // Of everything in the record but sequence and load; another one tells that a record was missed.
  std::uint32_t fingerprint = 0;
  Sequence sequence;
  TargetLoad load;

  bool operator==(const TargetKeepalive&) const = default;
};

struct TargetsMessage
{
  TargetsMessageKind kind = TargetsMessageKind::Ask;
  std::vector<TargetRecord> records;
  std::vector<TargetKeepalive> signs;

  bool operator==(const TargetsMessage&) const = default;
};

struct OutgoingTargetsMessage
{
  HostId to;
  TargetsMessage message;
};

// Merges announcements and passes on what is news.
//
//   TargetBroadcaster targets(clock, settings);
//   targets.OnAnnouncement(record);       // Made to this host.
//   targets.OnMessage(from, message);     // From a peer.
//   targets.OnTick();
//   for (auto& outgoing : targets.TakeOutgoing()) { ... }
//
// - The host that a target announces itself to is its home; a target keeps to one host and goes to
//   the next when that one does not answer. The home alone speaks for the target.
// - A change, leaving and silence go to all peers at once; load and signs of life go to the zone
//   every kRefreshInterval and beyond it every kFarRefreshInterval. A silent target is out of use
//   after three quarters of the limit at its home and on every host that the home reaches; where
//   the home fell silent too, after kRemoteSilence.
// - A refresh names fingerprints: who misses a record asks for it.
class TargetBroadcaster
{
public:
  static constexpr Duration kRefreshInterval = std::chrono::seconds(2);
  static constexpr Duration kFarRefreshInterval = std::chrono::milliseconds(3500);
  static constexpr Duration kRemoteSilence = std::chrono::milliseconds(4500);
  static constexpr Duration kAskInterval = std::chrono::milliseconds(500);

  TargetBroadcaster(const Clock& aClock, const HostSettings& aSettings);

  void OnAnnouncement(const TargetRecord& aRecord);
  void OnMessage(const HostId& aFrom, const TargetsMessage& aMessage);
  void OnTick();

  // Returns what is to be sent, and forgets it.
  std::vector<OutgoingTargetsMessage> TakeOutgoing();

  const TargetRegistry& Registry() const { return this->registry; }

private:
  void SendToAll(const TargetsMessage& aMessage);
  void TakeRecord(const HostId& aFrom, const TargetRecord& aRecord);
  // Returns whether everything that the sign tells of is known.
  bool TakeKeepalive(const HostId& aFrom, const TargetKeepalive& aSign);
  void TakeSilence(const HostId& aFrom, const TargetKeepalive& aSign);
  void ReportSilence();
  void SendRefresh(const std::vector<HostId>& aPeers);
  void Forget();
  TargetsMessage OwnRecords() const;
  TargetKeepalive SignOf(const TargetRecord& aRecord) const;
  bool IsOwn(const TargetId& aTarget) const;

  const Clock& clock;
  HostId self;
  // Peers of this host's zone, and all others.
  std::vector<HostId> near;
  std::vector<HostId> far;
  Duration homeSilence;
  TargetRegistry registry;
  std::map<TargetId, HostId> homes;
  std::map<std::uint32_t, TargetId> byHash;
  // Own targets whose silence was told.
  std::set<TargetId> told;
  MonotonicTime nextRefresh;
  MonotonicTime nextFarRefresh;
  std::map<HostId, MonotonicTime> nextAsk;
  std::vector<OutgoingTargetsMessage> outgoing;
};

// Returns the fingerprint of everything in the record but sequence and load.
std::uint32_t
FingerprintOfTarget(const TargetRecord& aRecord);

} // namespace damasklink
