#include "damasklink/coordination/HostMembership.h"

#include <algorithm>
#include <tuple>

#include "damasklink/state/Digests.h"

namespace damasklink {
namespace {

bool
PrecedesInRing(const PeerSettings& aLeft, const PeerSettings& aRight)
{
  return std::tie(aLeft.zone, aLeft.host) < std::tie(aRight.zone, aRight.host);
}

} // namespace

HostHash
HashOfHost(const HostId& aHost)
{
  return ShortHash(aHost.Value());
}

HostMembership::HostMembership(const Clock& aClock,
                               const HostSettings& aSettings,
                               Incarnation aIncarnation)
  : clock(aClock)
  , self(aSettings.host)
  , incarnation(aIncarnation)
  , nextHeartbeatAt(aClock.MonotonicNow())
{
  std::vector<PeerSettings> ring = aSettings.peers;
  std::sort(ring.begin(), ring.end(), PrecedesInRing);
  const auto isSelf = [&](const PeerSettings& aPeer) { return aPeer.host == this->self; };
  const auto own = std::find_if(ring.begin(), ring.end(), isSelf);
  std::rotate(ring.begin(), own, ring.end());
  for (const PeerSettings& peer : ring) {
    if (peer.host != this->self) {
      this->byHash[HashOfHost(peer.host)] = this->others.size();
      this->others.push_back(Entry{ peer.host, {}, {}, false, this->nextHeartbeatAt });
    }
  }
}

bool
HostMembership::AdvanceIfDue()
{
  const MonotonicTime now = this->clock.MonotonicNow();
  if (this->others.empty() || now < this->nextHeartbeatAt) {
    return false;
  }
  this->nextHeartbeatAt = now + kInterval;
  this->peerPosition = (this->peerPosition + 1) % this->others.size();
  return true;
}

HostId
HostMembership::CurrentPeer() const
{
  return this->others.empty() ? HostId() : this->others[this->peerPosition].host;
}

Heartbeat
HostMembership::MakeHeartbeat()
{
  Heartbeat beat;
  this->sequence = this->sequence.Next();
  beat.incarnation = this->incarnation;
  beat.sequence = this->sequence;
  beat.leaving = this->leaving;
  const std::size_t count = std::min(this->others.size(), kMaxSightings);
  for (std::size_t taken = 0; taken < count; ++taken) {
    const Entry& entry = this->others[this->nextSighting];
    this->nextSighting = (this->nextSighting + 1) % this->others.size();
    if (entry.incarnation != Incarnation()) {
      beat.others.push_back(
        HostSighting{ HashOfHost(entry.host), entry.incarnation, entry.sequence, entry.leaving });
    }
  }
  return beat;
}

void
HostMembership::OnHeartbeat(const HostId& aFrom, const Heartbeat& aHeartbeat)
{
  this->Merge(HostSighting{
    HashOfHost(aFrom), aHeartbeat.incarnation, aHeartbeat.sequence, aHeartbeat.leaving });
  const HostHash own = HashOfHost(this->self);
  for (const HostSighting& sighting : aHeartbeat.others) {
    if (sighting.host == own && sighting.incarnation > this->incarnation) {
      // The wall clock went back before this host restarted, so a higher incarnation than that of
      // the earlier process is needed.
      this->incarnation = sighting.incarnation.Next();
    }
    this->Merge(sighting);
  }
}

void
HostMembership::Merge(const HostSighting& aSighting)
{
  const auto found = this->byHash.find(aSighting.host);
  if (found == this->byHash.end()) {
    return;
  }
  Entry& entry = this->others[found->second];
  const auto seen = std::tie(aSighting.incarnation, aSighting.sequence);
  if (seen <= std::tie(entry.incarnation, entry.sequence)) {
    return;
  }
  const bool sameIncarnation = aSighting.incarnation == entry.incarnation;
  entry.leaving = aSighting.leaving || (sameIncarnation && entry.leaving);
  entry.incarnation = aSighting.incarnation;
  entry.sequence = aSighting.sequence;
  entry.heardAt = this->clock.MonotonicNow();
}

bool
HostMembership::IsUp(const HostId& aHost) const
{
  if (aHost == this->self) {
    return true;
  }
  const auto found = this->byHash.find(HashOfHost(aHost));
  if (found == this->byHash.end()) {
    return false;
  }
  const Entry& entry = this->others[found->second];
  return !entry.leaving && this->clock.MonotonicNow() - entry.heardAt < kFailureTimeout;
}

HostId
HostMembership::NextHostUp() const
{
  for (const Entry& entry : this->others) {
    if (this->IsUp(entry.host)) {
      return entry.host;
    }
  }
  return HostId();
}

} // namespace damasklink
