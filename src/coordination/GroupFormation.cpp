#include "damasklink/coordination/GroupFormation.h"

#include <algorithm>
#include <utility>

namespace damasklink {
namespace {

constexpr Duration kRoundInterval = std::chrono::seconds(1);

} // namespace

GroupFormation::GroupFormation(const Clock& aClock,
                               Member aSelf,
                               std::vector<HostId> aListedVoters,
                               std::uint64_t aSeed)
  : clock(aClock)
  , self(std::move(aSelf))
  , listed(std::move(aListedVoters))
  , random(aSeed)
  , proposed(this->random() | 1U)
{
}

GroupFormation::Outcome
GroupFormation::Tick()
{
  Outcome outcome;
  if (this->listed.size() == 1 && this->MayFormGroup()) {
    outcome.formWith.members = { this->self };
    return outcome;
  }
  if (this->clock.MonotonicNow() < this->nextRound) {
    return outcome;
  }
  this->nextRound = this->clock.MonotonicNow() + kRoundInterval;
  this->neverFormed.clear();
  this->nonce = this->random() | 1U;
  outcome.query = this->MakeQuery();
  for (const HostId& host : this->listed) {
    if (host != this->self.host) {
      outcome.queriedHosts.push_back(host);
    }
  }
  return outcome;
}

FormationQuery
GroupFormation::MakeQuery() const
{
  FormationQuery query;
  query.nonce = this->nonce;
  if (this->MayFormGroup()) {
    query.proposed = this->proposed;
  }
  return query;
}

GroupFormation::Outcome
GroupFormation::OnHostUp(const HostId& aHost) const
{
  Outcome outcome;
  const bool asked =
    std::find(this->listed.begin(), this->listed.end(), aHost) != this->listed.end();
  if (asked && aHost != this->self.host && this->nonce != 0) {
    outcome.query = this->MakeQuery();
    outcome.queriedHosts.push_back(aHost);
  }
  return outcome;
}

GroupFormation::Outcome
GroupFormation::Receive(const AgreementMessage& aMessage, const FormationAnswer& aAnswer)
{
  Outcome outcome;
  if (this->nonce == 0 || aAnswer.nonce != this->nonce) {
    return outcome;
  }
  if (aAnswer.formed != FormationId()) {
    outcome.adopt = aAnswer.formed;
    return outcome;
  }
  this->neverFormed[aMessage.fromHost] = aMessage.from;
  if (!this->MayFormGroup() || this->neverFormed.size() + 1 < this->listed.size()) {
    return outcome;
  }
  for (const HostId& host : this->listed) {
    const bool own = host == this->self.host;
    const ReplicaId replica = own ? this->self.replica : this->neverFormed[host];
    outcome.formWith.members.push_back(Member{ host, replica, true });
  }
  return outcome;
}

void
GroupFormation::CancelRound()
{
  this->nonce = 0;
  this->neverFormed.clear();
}

} // namespace damasklink
