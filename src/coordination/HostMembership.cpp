#include "damasklink/coordination/HostMembership.h"

#include <algorithm>
#include <tuple>

#include "damasklink/state/Digests.h"

namespace damasklink {
namespace {

bool
StandsBefore(const PeerSettings& aLeft, const PeerSettings& aRight)
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
  , nextTurn(aClock.MonotonicNow())
{
  std::vector<PeerSettings> ring = aSettings.peers;
  std::sort(ring.begin(), ring.end(), StandsBefore);
  const auto isSelf = [&](const PeerSettings& aPeer) { return aPeer.host == this->self; };
  const auto own = std::find_if(ring.begin(), ring.end(), isSelf);
  std::rotate(ring.begin(), own, ring.end());
  for (const PeerSettings& peer : ring) {
    if (peer.host != this->self) {
      this->byHash[HashOfHost(peer.host)] = this->others.size();
      this->others.push_back(Entry{ peer.host, {}, {}, false, this->nextTurn });
    }
  }
}

bool
HostMembership::TakeTurn()
{
  const MonotonicTime now = this->clock.MonotonicNow();
  if (this->others.empty() || now < this->nextTurn) {
    return false;
  }
  this->nextTurn = now + kInterval;
  this->turn = (this->turn + 1) % this->others.size();
  return true;
}

HostId
HostMembership::Partner() const
{
  return this->others.empty() ? HostId() : this->others[this->turn].host;
}

Heartbeat
HostMembership::MakeHeartbeat()
{
  Heartbeat beat;
  this->sequence = this->sequence.Next();
  beat.incarnation = this->incarnation;
  beat.sequence = this->sequence;
  beat.leaving = this->leaving;
  const std::size_t count = std::min(this->others.size(), kMostSightings);
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
      // The calendar went back between two lives of this host; rise above the former one.
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
  const bool sameLife = aSighting.incarnation == entry.incarnation;
  entry.leaving = aSighting.leaving || (sameLife && entry.leaving);
  entry.incarnation = aSighting.incarnation;
  entry.sequence = aSighting.sequence;
  entry.heard = this->clock.MonotonicNow();
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
  return !entry.leaving && this->clock.MonotonicNow() - entry.heard < kSilence;
}

HostId
HostMembership::NextUp() const
{
  for (const Entry& entry : this->others) {
    if (this->IsUp(entry.host)) {
      return entry.host;
    }
  }
  return HostId();
}

} // namespace damasklink
