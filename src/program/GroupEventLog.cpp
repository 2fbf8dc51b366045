#include "GroupEventLog.h"

#include <string>

#include "damasklink/state/Text.h"
#include "damasklink/transport/Log.h"

namespace damasklink {
namespace {

// An election takes less. A replica that has no leader for longer is reported, and again each time
// that this has passed.
constexpr Duration kLeaderlessInterval = std::chrono::seconds(2);

// Returns "host:replica" for each member, followed by "(learner)" if it does not vote.
std::string
FormatMembership(const Membership& aMembership)
{
  std::string text;
  for (const Member& member : aMembership.members) {
    const std::string_view separator = text.empty() ? "" : " ";
    const std::string_view role = member.voter ? "" : "(learner)";
    text += Concat(separator, member.host.Value(), ":", member.replica.Value(), role);
  }
  return text;
}

std::int64_t
Milliseconds(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count();
}

} // namespace

void
GroupEventLog::Update(const GroupId& aGroup)
{
  if (const std::optional<Error>& failure = this->replica.Failure()) {
    if (!std::exchange(this->failureLogged, true)) {
      LogEvent(LogLevel::Error, "replica_stopped").With("group", aGroup).With("error", *failure);
    }
    return;
  }
  const GroupStatus status = this->replica.Status();
  if (status.leading && !this->wasLeading) {
    this->metrics.Add(Counter::Elections, MetricKey{ {}, aGroup.Value() }, 1);
    LogEvent(LogLevel::Info, "leader_elected").With("group", aGroup).With("term", status.term);
  }
  this->wasLeading = status.leading;
  const Membership& newest = this->replica.Core().Log().NewestMembership();
  if (newest != this->membership) {
    this->membership = newest;
    LogEvent(LogLevel::Info, "membership_changed")
      .With("group", aGroup)
      .With("members", FormatMembership(newest));
  }
  this->LogLeader(aGroup);
  this->LogLags(aGroup);
}

void
GroupEventLog::LogLeader(const GroupId& aGroup)
{
  const RaftCore& core = this->replica.Core();
  const MonotonicTime now = this->clock.MonotonicNow();
  if (core.HasRecentLeader()) {
    if (this->leaderlessLoggedAt) {
      LogEvent(LogLevel::Info, "group_has_leader")
        .With("group", aGroup)
        .With("leader", core.LeaderHost())
        .With("term", core.CurrentTerm())
        .With("without_ms", Milliseconds(now - this->leaderSeenAt));
    }
    this->leaderSeenAt = now;
    this->leaderlessLoggedAt.reset();
    return;
  }
  if (now - this->leaderlessLoggedAt.value_or(this->leaderSeenAt) < kLeaderlessInterval) {
    return;
  }
  this->leaderlessLoggedAt = now;
  LogEvent(LogLevel::Warning, "group_without_leader")
    .With("group", aGroup)
    .With("for_ms", Milliseconds(now - this->leaderSeenAt))
    .With("term", core.CurrentTerm())
    .With("last_index", core.Log().LastIndex())
    .With("last_term", core.Log().LastTerm())
    .With("votes", core.Votes())
    .With("members", FormatMembership(this->membership));
}

void
GroupEventLog::LogLags(const GroupId& aGroup)
{
  for (const MemberLagChange& change : this->lags.Update(this->replica.Core())) {
    const MemberProgress& progress = change.progress;
    LogEvent line(LogLevel::Info, change.caughtUpAfter ? "member_caught_up" : "member_lags");
    line.With("group", aGroup)
      .With("host", progress.member.host)
      .With("replica", progress.member.replica)
      .With("voter", progress.member.voter)
      .With("match", progress.match)
      .With("missing_entries", progress.missingEntries)
      .With("missing_bytes", change.missingBytes)
      .With("bytes_in_flight", progress.bytesInFlight)
      .With("answers", progress.responsive);
    if (change.caughtUpAfter) {
      line.With("after_ms", Milliseconds(*change.caughtUpAfter));
      this->metrics.Observe(
        Sample::MemberCatchUp, MetricKey{ {}, aGroup.Value() }, *change.caughtUpAfter);
    }
  }
}

} // namespace damasklink
