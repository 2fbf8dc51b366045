#include "damasklink/coordination/MembershipRepair.h"

#include <algorithm>

namespace damasklink {
namespace {

// A learner that lags the leader's commit index by at most this many entries counts as caught up;
// it gets the rest while the membership change is committed.
constexpr std::uint64_t kMaxCatchUpLag = 256;

bool
IsCaughtUp(const Member& aMember, const RaftCore& aCore)
{
  const LogIndex match = aCore.MatchOf(aMember.replica);
  return match > LogIndex() && aCore.HeardRecentlyFrom(aMember.replica) &&
         match.Value() + kMaxCatchUpLag >= aCore.Committed().Value();
}

} // namespace

bool
MembershipRepair::IsListed(const HostId& aHost) const
{
  return this->maxVoters.has_value() ||
         std::find(this->listed.begin(), this->listed.end(), aHost) != this->listed.end();
}

void
MembershipRepair::OnJoinRequest(const HostId& aHost, ReplicaId aReplica)
{
  if (this->IsListed(aHost)) {
    this->joining[aHost] = Joining{ aReplica, this->clock.MonotonicNow() };
  }
}

std::optional<Membership>
MembershipRepair::Next(const RaftCore& aCore)
{
  const Membership& now = aCore.Log().NewestMembership();
  if (auto removed = this->RemoveReplaced(now, aCore)) {
    return removed;
  }
  if (auto promoted = this->Promote(now, aCore)) {
    return promoted;
  }
  if (auto removed = this->RemoveRetired(now, aCore)) {
    return removed;
  }
  return this->AddLearner(now);
}

// Returns whether another voter makes the group tolerate more failures. A listed host always does.
// If hosts are discovered, an even number of voters tolerates no more failures than the odd number
// below it, so voters are added in pairs, or one at a time to replace a voter that does not answer.
bool
MembershipRepair::MayAddVoter(const Membership& aNow, const RaftCore& aCore) const
{
  if (!this->maxVoters) {
    return true;
  }
  const std::size_t voters = aNow.VoterCount();
  if (voters % 2 == 0) {
    return voters < *this->maxVoters;
  }
  const auto& members = aNow.members;
  const bool voterSilent = std::any_of(members.begin(), members.end(), [&](const Member& aMember) {
    return aMember.voter && !aCore.HeardRecentlyFrom(aMember.replica);
  });
  const auto ready = std::count_if(members.begin(), members.end(), [&](const Member& aMember) {
    return !aMember.voter && IsCaughtUp(aMember, aCore);
  });
  return voterSilent || (ready >= 2 && voters + 2 <= *this->maxVoters);
}

std::optional<Membership>
MembershipRepair::Promote(const Membership& aNow, const RaftCore& aCore) const
{
  if (!this->MayAddVoter(aNow, aCore)) {
    return std::nullopt;
  }
  for (std::size_t position = 0; position < aNow.members.size(); ++position) {
    const Member& member = aNow.members[position];
    if (!member.voter && IsCaughtUp(member, aCore)) {
      Membership next = aNow;
      next.members[position].voter = true;
      return next;
    }
  }
  return std::nullopt;
}

// Removes the former replica of a host that has a newer one: once the newer one votes, or before
// that if the former one is silent and the newer one has caught up. The number of others that must
// answer is the same either way. But if the newer one voted first and its disk were lost as well,
// two members could never answer, and the others might be too few. New members are appended, so the
// newer one comes later in the list.
std::optional<Membership>
MembershipRepair::RemoveReplaced(const Membership& aNow, const RaftCore& aCore) const
{
  for (auto older = aNow.members.begin(); older != aNow.members.end(); ++older) {
    const bool lost = older->voter && !aCore.HeardRecentlyFrom(older->replica);
    const bool replaced = std::any_of(older + 1, aNow.members.end(), [&](const Member& aMember) {
      return aMember.host == older->host && (aMember.voter || (lost && IsCaughtUp(aMember, aCore)));
    });
    if (replaced) {
      Membership next = aNow;
      next.members.erase(next.members.begin() + (older - aNow.members.begin()));
      return next;
    }
  }
  return std::nullopt;
}

// Removes a host that does not answer and is no longer listed. A host that still answers stays,
// since the settings of this host may be the wrong ones. If hosts are discovered, a voter that does
// not answer stays until its successor votes and makes the number of voters even, because it may
// hold acknowledged entries. One of two voters always stays: the other one alone would commit what
// a single lost disk takes away.
std::optional<Membership>
MembershipRepair::RemoveRetired(const Membership& aNow, const RaftCore& aCore) const
{
  constexpr std::size_t kMinVoters = 2;
  const bool tooManyVoters =
    this->maxVoters && aNow.VoterCount() % 2 == 0 && aNow.VoterCount() > kMinVoters;
  const auto retired =
    std::find_if(aNow.members.begin(), aNow.members.end(), [&](const Member& aMember) {
      const bool surplus =
        this->maxVoters ? !aMember.voter || tooManyVoters : !this->IsListed(aMember.host);
      return surplus && !aCore.HeardRecentlyFrom(aMember.replica);
    });
  if (retired == aNow.members.end()) {
    return std::nullopt;
  }
  Membership next = aNow;
  next.members.erase(next.members.begin() + (retired - aNow.members.begin()));
  return next;
}

std::optional<Membership>
MembershipRepair::AddLearner(const Membership& aNow)
{
  // A host may have lost its disk again since an old request, and its newer replica have joined
  // under another leader.
  const MonotonicTime oldest = this->clock.MonotonicNow() - kJoinInterval * 3 / 2;
  std::erase_if(this->joining, [&](const auto& aItem) {
    return aNow.Find(aItem.second.replica) != nullptr || aItem.second.askedAt < oldest;
  });
  if (this->joining.empty()) {
    return std::nullopt;
  }
  const auto& [host, request] = *this->joining.begin();
  Membership next = aNow;
  // The host's former learner was lost before it caught up.
  const auto lost = std::find_if(
    next.members.begin(), next.members.end(), [&, &joiningHost = host](const Member& aMember) {
      return aMember.host == joiningHost && !aMember.voter;
    });
  if (lost != next.members.end()) {
    next.members.erase(lost);
    return next;
  }
  next.members.push_back(Member{ host, request.replica, false });
  return next;
}

} // namespace damasklink
