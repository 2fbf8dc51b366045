#include "damasklink/coordination/ClaimRegistry.h"

#include <algorithm>

#include "damasklink/state/Digests.h"
#include "damasklink/state/Text.h"

namespace damasklink {
namespace {

// Largest difference between the clocks of hosts. Creation times of keys are compared
// with the leader's clock.
constexpr Duration kMaxClockSkew = std::chrono::seconds(60);
// Limits the work of one command.
constexpr std::size_t kMaxExpiredPerCommand = 64;

ClaimName
NameOf(const ClaimCommand& aCommand)
{
  const std::string& workspace = aCommand.workspace.Value();
  // The length prefix distinguishes "ab"+"c" from "a"+"bc".
  return PackedDigestOf(Concat(workspace.size(), "/", workspace, aCommand.key.Value()));
}

ClaimTag
TagOf(std::string_view aText)
{
  const auto bytes = PackedDigestOf(aText);
  ClaimTag tag{};
  std::copy_n(bytes.begin(), tag.size(), tag.begin());
  return tag;
}

std::int64_t
SecondOf(WallTime aTime)
{
  return std::chrono::duration_cast<std::chrono::seconds>(aTime.time_since_epoch()).count();
}

WallTime
After(WallTime aTime, Duration aStep)
{
  return aTime + std::chrono::duration_cast<WallTime::duration>(aStep);
}

ClaimReply
Reply(ClaimVerdict aVerdict)
{
  return ClaimReply{ aVerdict, Duration(0), std::nullopt };
}

std::size_t
SizeOf(const KeptAnswer& aAnswer)
{
  return aAnswer.body.size() + aAnswer.contentType.size();
}

} // namespace

ClaimReply
ClaimRegistry::Apply(const ApplyContext& aContext, const ClaimCommand& aCommand)
{
  this->UpdateIncarnation(aContext);
  this->RemoveExpired(aContext.proposedAt);
  if (aCommand.verb == ClaimVerb::Claim) {
    return this->Claim(aContext, aCommand);
  }
  return this->Settle(aContext, aCommand);
}

ClaimReply
ClaimRegistry::Claim(const ApplyContext& aContext, const ClaimCommand& aCommand)
{
  const WallTime now = aContext.proposedAt;
  if (aCommand.createdAt) {
    if (*aCommand.createdAt > After(now, kMaxClockSkew)) {
      return Reply(ClaimVerdict::CreatedInFuture);
    }
    if (now >= After(*aCommand.createdAt, aCommand.retention)) {
      return Reply(ClaimVerdict::Expired);
    }
  }
  const auto found = this->entries.find(NameOf(aCommand));
  if (found != this->entries.end() && now < found->second.expiry) {
    return this->ClaimKnown(aContext, aCommand, found);
  }
  return this->ClaimNew(aContext, aCommand);
}

ClaimReply
ClaimRegistry::ClaimNew(const ApplyContext& aContext, const ClaimCommand& aCommand)
{
  if (aCommand.createdAt && *aCommand.createdAt <= this->header.latestRemovedCreation) {
    return Reply(ClaimVerdict::Expired);
  }
  if (aContext.incarnation == Incarnation()) {
    return Reply(ClaimVerdict::NotReady);
  }
  if (this->MayPredateReformation(aContext, aCommand)) {
    return Reply(ClaimVerdict::MayHaveRun);
  }
  const ClaimName name = NameOf(aCommand);
  if (this->entries.size() >= this->limits.claims && this->entries.count(name) == 0) {
    return Reply(ClaimVerdict::Full);
  }
  const auto entry = this->entries.try_emplace(name).first;
  this->DropAnswer(entry);
  return this->Grant(aContext, aCommand, entry);
}

ClaimReply
ClaimRegistry::ClaimKnown(const ApplyContext& aContext,
                          const ClaimCommand& aCommand,
                          Entries::iterator aFound)
{
  ClaimEntry& entry = aFound->second;
  if (entry.bodyKnown && entry.body != TagOf(aCommand.body.Value())) {
    return Reply(ClaimVerdict::BodyMismatch);
  }
  const bool sameAttempt = entry.attempt == TagOf(aCommand.attempt.Value());
  const bool leased = aContext.proposedAt < entry.leaseEnd;
  switch (entry.state) {
    case ClaimState::Released:
      return sameAttempt ? Reply(ClaimVerdict::Withdrawn) : this->Grant(aContext, aCommand, aFound);
    case ClaimState::Finished:
      if (entry.answer == nullptr) {
        return Reply(ClaimVerdict::AnswerDropped);
      }
      return ClaimReply{ ClaimVerdict::Kept, Duration(0), entry.answer->answer };
    case ClaimState::Running:
      if (sameAttempt) {
        return Reply(ClaimVerdict::Granted);
      }
      if (leased) {
        return ClaimReply{ ClaimVerdict::Running, entry.leaseEnd - aContext.proposedAt, {} };
      }
      return Reply(ClaimVerdict::MayHaveRun);
    case ClaimState::Unknown:
      return Reply(ClaimVerdict::MayHaveRun);
  }
  return Reply(ClaimVerdict::MayHaveRun);
}

ClaimReply
ClaimRegistry::Grant(const ApplyContext& aContext,
                     const ClaimCommand& aCommand,
                     Entries::iterator aEntry)
{
  const WallTime now = aContext.proposedAt;
  ClaimEntry& entry = aEntry->second;
  entry.state = ClaimState::Running;
  entry.body = TagOf(aCommand.body.Value());
  entry.bodyKnown = true;
  entry.attempt = TagOf(aCommand.attempt.Value());
  entry.leaseEnd = After(now, aCommand.lease);
  entry.createdAt = aCommand.createdAt.value_or(WallTime());
  this->Extend(aEntry, After(aCommand.createdAt.value_or(now), aCommand.retention));
  return Reply(ClaimVerdict::Granted);
}

ClaimReply
ClaimRegistry::Settle(const ApplyContext& aContext, const ClaimCommand& aCommand)
{
  const auto found = this->entries.find(NameOf(aCommand));
  if (found == this->entries.end()) {
    this->RecordEarlyRelease(aContext, aCommand);
    return Reply(ClaimVerdict::Recorded);
  }
  ClaimEntry& entry = found->second;
  const bool sameAttempt = entry.attempt == TagOf(aCommand.attempt.Value());
  const bool open = entry.state == ClaimState::Running || entry.state == ClaimState::Unknown;
  if (!sameAttempt || !open) {
    return Reply(ClaimVerdict::Recorded);
  }
  if (aCommand.verb == ClaimVerb::Finish) {
    entry.state = ClaimState::Finished;
    this->KeepAnswer(aContext.index, aCommand, found);
  } else if (aCommand.verb == ClaimVerb::Abandon) {
    entry.state = ClaimState::Unknown;
  } else if (entry.state == ClaimState::Running) {
    entry.state = ClaimState::Released;
  }
  return Reply(ClaimVerdict::Recorded);
}

void
ClaimRegistry::RecordEarlyRelease(const ApplyContext& aContext, const ClaimCommand& aCommand)
{
  if (aContext.incarnation == Incarnation()) {
    return;
  }
  const bool room = this->entries.size() < this->limits.claims;
  if (aCommand.verb != ClaimVerb::Release || !room || aCommand.retention <= Duration(0)) {
    return;
  }
  const WallTime now = aContext.proposedAt;
  const WallTime expiry = After(aCommand.createdAt.value_or(now), aCommand.retention);
  if (this->MayPredateReformation(aContext, aCommand) || now >= expiry) {
    return;
  }
  const auto entry = this->entries.try_emplace(NameOf(aCommand)).first;
  entry->second.state = ClaimState::Released;
  entry->second.attempt = TagOf(aCommand.attempt.Value());
  entry->second.createdAt = aCommand.createdAt.value_or(WallTime());
  this->Extend(entry, expiry);
}

void
ClaimRegistry::KeepAnswer(LogIndex aIndex, const ClaimCommand& aCommand, Entries::iterator aEntry)
{
  if (!aCommand.answer) {
    return;
  }
  aEntry->second.answer = std::make_unique<StoredAnswer>(StoredAnswer{ aIndex, *aCommand.answer });
  this->answerBytes += SizeOf(*aCommand.answer);
  this->answers[aIndex] = aEntry;
  while (this->answerBytes > this->limits.answerBytes) {
    this->DropAnswer(this->answers.begin()->second);
  }
}

void
ClaimRegistry::DropAnswer(Entries::iterator aEntry)
{
  ClaimEntry& entry = aEntry->second;
  if (entry.answer == nullptr) {
    return;
  }
  this->answerBytes -= SizeOf(entry.answer->answer);
  this->answers.erase(entry.answer->storedAt);
  entry.answer.reset();
}

void
ClaimRegistry::Extend(Entries::iterator aEntry, WallTime aExpiry)
{
  ClaimEntry& entry = aEntry->second;
  const bool isNew = entry.expiry == WallTime();
  const std::int64_t before = SecondOf(entry.expiry);
  entry.expiry = std::max(entry.expiry, aExpiry);
  const std::int64_t after = SecondOf(entry.expiry);
  if (isNew || after != before) {
    this->expiries[after].push_back(aEntry);
  }
}

void
ClaimRegistry::RemoveExpired(WallTime aNow)
{
  const std::int64_t now = SecondOf(aNow);
  std::size_t left = kMaxExpiredPerCommand;
  while (left > 0 && !this->expiries.empty() && this->expiries.begin()->first < now) {
    const std::int64_t second = this->expiries.begin()->first;
    std::vector<Entries::iterator>& ending = this->expiries.begin()->second;
    while (left > 0 && !ending.empty()) {
      const auto entry = ending.back();
      ending.pop_back();
      --left;
      // An extended entry is also listed under a later second.
      if (SecondOf(entry->second.expiry) == second) {
        this->header.latestRemovedCreation =
          std::max(this->header.latestRemovedCreation, entry->second.createdAt);
        this->DropAnswer(entry);
        this->entries.erase(entry);
      }
    }
    if (ending.empty()) {
      this->expiries.erase(this->expiries.begin());
    }
  }
}

void
ClaimRegistry::UpdateIncarnation(const ApplyContext& aContext)
{
  if (aContext.incarnation <= this->header.incarnation) {
    return;
  }
  this->header.incarnation = aContext.incarnation;
  this->header.reformedAt = aContext.proposedAt;
}

bool
ClaimRegistry::MayPredateReformation(const ApplyContext& aContext,
                                     const ClaimCommand& aCommand) const
{
  if (!this->header.reformedAt) {
    return false;
  }
  const WallTime reformed = *this->header.reformedAt;
  if (aCommand.createdAt) {
    return *aCommand.createdAt <= After(reformed, kMaxClockSkew);
  }
  return aContext.proposedAt < After(reformed, aCommand.retention);
}

void
ClaimRegistry::Visit(const std::function<void(const ClaimName&, const ClaimEntry&)>& aVisitor) const
{
  for (const auto& [name, entry] : this->entries) {
    aVisitor(name, entry);
  }
}

void
ClaimRegistry::Restore(const ClaimName& aName, ClaimEntry aEntry)
{
  const WallTime expiry = aEntry.expiry;
  aEntry.expiry = WallTime();
  const auto entry = this->entries.insert_or_assign(aName, std::move(aEntry)).first;
  this->Extend(entry, expiry);
  if (entry->second.answer != nullptr) {
    this->answerBytes += SizeOf(entry->second.answer->answer);
    this->answers[entry->second.answer->storedAt] = entry;
  }
}

} // namespace damasklink
