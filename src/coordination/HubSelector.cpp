#include "damasklink/coordination/HubSelector.h"

namespace damasklink {

int
HubSelector::RankOf(const HubCandidate& aCandidate) const
{
  const int responsive = this->unresponsive.contains(aCandidate.host) ? 0 : 4;
  const int hearsLeader = aCandidate.hearsLeader ? 2 : 0;
  const int inOwnZone = aCandidate.zone == this->zone ? 1 : 0;
  return responsive + hearsLeader + inOwnZone;
}

std::optional<HostId>
HubSelector::Choose(const std::vector<HubCandidate>& aCandidates)
{
  const MonotonicTime now = this->clock.MonotonicNow();
  if (this->hub && this->awaitingReplySince && now - *this->awaitingReplySince >= kReplyTimeout) {
    this->unresponsive.insert(*this->hub);
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
    this->awaitingReplySince.reset();
  }
  return this->hub;
}

void
HubSelector::OnReportSent()
{
  if (!this->awaitingReplySince) {
    this->awaitingReplySince = this->clock.MonotonicNow();
  }
}

void
HubSelector::OnMessageFrom(const HostId& aHost)
{
  this->unresponsive.erase(aHost);
  if (this->hub == aHost) {
    this->awaitingReplySince.reset();
  }
}

void
HubSelector::OnLost(const HostId& aHost)
{
  this->unresponsive.erase(aHost);
  if (this->hub == aHost) {
    this->hub.reset();
    this->awaitingReplySince.reset();
  }
}

} // namespace damasklink
