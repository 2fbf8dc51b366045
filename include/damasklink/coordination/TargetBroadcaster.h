// Distribution of target announcements: each target announces itself to one host, which passes this
// on to all others.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "damasklink/coordination/TargetRegistry.h"

namespace damasklink {

enum class TargetsMessageKind : std::uint8_t
{
  Records = 1, // Complete records that are new or have changed.
  Refresh = 2, // Keepalives of all targets that announce themselves to the sender.
  Silent = 3,  // Targets that have stopped announcing themselves to the sender.
  Ask = 4,     // Requests the records of all targets that announce themselves to the receiver.
};

// Tells that a target is alive, and its load; 24 bytes on the wire.
struct TargetKeepalive
{
  // ShortHash() of the target's id.
  std::uint32_t target = 0;
  // FingerprintOfTarget() of its record. A mismatch tells the receiver that it has missed a record.
  std::uint32_t fingerprint = 0;
  Sequence sequence;
  TargetLoad load;

  bool operator==(const TargetKeepalive&) const = default;
};

struct TargetsMessage
{
  TargetsMessageKind kind = TargetsMessageKind::Ask;
  std::vector<TargetRecord> records;
  std::vector<TargetKeepalive> keepalives;

  bool operator==(const TargetsMessage&) const = default;
};

struct OutgoingTargetsMessage
{
  HostId to;
  TargetsMessage message;
};

// Merges announcements and passes changes on to the peers.
//
//   TargetBroadcaster targets(clock, settings);
//   targets.OnAnnouncement(record);       // Made to this host.
//   targets.OnMessage(from, message);     // From a peer.
//   targets.OnTick();
//   for (auto& outgoing : targets.TakeOutgoing()) { ... }
//
// - The host that a target announces itself to is its home. A target keeps its home and moves to
//   the next host when the home does not answer. Only the home sends messages about the target.
// - Changes of the record, leaving and silence are sent to all peers at once. Keepalives with the
//   load are sent to peers in the same zone every kRefreshInterval and to the others every
//   kFarRefreshInterval.
// - A silent target becomes unusable after three quarters of the silence limit at its home, which
//   then tells all reachable hosts. Where the home is silent too, it becomes unusable after
//   kRemoteSilence.
// - Keepalives carry fingerprints: a host that has missed a record requests the records of the
//   sender, at most once per kAskInterval.
//
// Not thread-safe.
class TargetBroadcaster
{
public:
  static constexpr Duration kRefreshInterval = std::chrono::seconds(2);
  static constexpr Duration kFarRefreshInterval = std::chrono::milliseconds(3500);
  static constexpr Duration kRemoteSilence = std::chrono::milliseconds(4500);
  static constexpr Duration kAskInterval = std::chrono::milliseconds(500);

  TargetBroadcaster(const Clock& aClock, const HostSettings& aSettings);

  // Takes an announcement that a target made to this host.
  void OnAnnouncement(const TargetRecord& aRecord);
  // Takes a message of a peer.
  void OnMessage(const HostId& aFrom, const TargetsMessage& aMessage);
  // Sends the messages that are due. Must be called periodically.
  void OnTick();

  // Returns the messages to send and clears the queue.
  std::vector<OutgoingTargetsMessage> TakeOutgoing();

  const TargetRegistry& Registry() const { return this->registry; }

private:
  void SendToAll(const TargetsMessage& aMessage);
  void ApplyRecord(const HostId& aFrom, const TargetRecord& aRecord);
  // Returns whether this host knows the record that the keepalive refers to.
  bool ApplyKeepalive(const HostId& aFrom, const TargetKeepalive& aKeepalive);
  void ApplySilence(const HostId& aFrom, const TargetKeepalive& aKeepalive);
  void ReportSilence();
  void SendRefresh(const std::vector<HostId>& aPeers);
  void Forget();
  TargetsMessage OwnRecords() const;
  TargetKeepalive KeepaliveOf(const TargetRecord& aRecord) const;
  bool IsOwn(const TargetId& aTarget) const;

  const Clock& clock;
  HostId self;
  std::vector<HostId> sameZonePeers;
  std::vector<HostId> otherZonePeers;
  // How long a target that has its home here may be silent.
  Duration homeSilence;
  TargetRegistry registry;
  // The home of each target.
  std::map<TargetId, HostId> homes;
  std::map<std::uint32_t, TargetId> byHash;
  // Targets of this home whose silence has been sent to the peers.
  std::set<TargetId> reportedSilent;
  MonotonicTime nextRefresh;
  MonotonicTime nextFarRefresh;
  std::map<HostId, MonotonicTime> nextAsk;
  std::vector<OutgoingTargetsMessage> outgoing;
};

// Returns the fingerprint of everything in the record except sequence and load.
std::uint32_t
FingerprintOfTarget(const TargetRecord& aRecord);

} // namespace damasklink
