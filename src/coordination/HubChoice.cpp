#include "damasklink/coordination/HubChoice.h"

namespace damasklink {

int
HubChoice::RankOf(const HubCandidate& aCandidate) const
{
  const int speaks = this->quiet.contains(aCandidate.host) ? 0 : 4;
  const int good = aCandidate.good ? 2 : 0;
  const int near = aCandidate.zone == this->zone ? 1 : 0;
  return speaks + good + near;
}

std::optional<HostId>
HubChoice::Choose(const std::vector<HubCandidate>& aCandidates)
{
  const MonotonicTime now = this->clock.MonotonicNow();
  if (this->hub && this->owesSince && now - *this->owesSince >= kPatience) {
    this->quiet.insert(*this->hub);
  }
  std::optional<HostId> best;
  int bestRank = 0;
  for (const HubCandidate& candidate : aCandidates) {
    const int rank = this->RankOf(candidate);
    if (!best || rank > bestRank) {
      best = candidate.host;
      bestRank = rank;
    }
  }
  if (best != this->hub) {
    this->hub = best;
    this->owesSince.reset();
  }
  return this->hub;
}

void
HubChoice::OnTold()
{
  if (!this->owesSince) {
    this->owesSince = this->clock.MonotonicNow();
  }
}

void
HubChoice::OnHeard(const HostId& aHost)
{
  this->quiet.erase(aHost);
  if (this->hub == aHost) {
    this->owesSince.reset();
  }
}

void
HubChoice::OnLost(const HostId& aHost)
{
  this->quiet.erase(aHost);
  if (this->hub == aHost) {
    this->hub.reset();
    this->owesSince.reset();
  }
}

} // namespace damasklink
