// The replicated record of idempotency keys: who runs a call, and what came of it.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "damasklink/coordination/Replication.h"

namespace damasklink {

// What is done to a claim. The numbers stand in log files: never reuse one.
enum class ClaimVerb : std::uint8_t
{
  Claim = 1,   // Asks for the right to run; repeated under the same attempt until answered.
  Finish = 2,  // The run ended with an answer.
  Abandon = 3, // The run broke off and may have done its work.
  Release = 4, // Surely nothing was run, so another attempt may.
};

// The answer of a run, kept for callers that ask again.
struct KeptAnswer
{
  int status = 200;
  std::string contentType;
  std::string body;

  bool operator==(const KeptAnswer&) const = default;
};

// One command to the ledger.
struct ClaimCommand
{
  ClaimVerb verb = ClaimVerb::Claim;
  WorkspaceId workspace;
  IdempotencyKey key;
  // Tells one run from another; unique over hosts and restarts.
  AttemptId attempt;
  // Of method, path, query and body, so that one key stands for one call. Read with Claim.
  Digest body;
  // Empty for a caller's own key. Read with Claim.
  std::optional<WallTime> birth;
  // How long the claim is remembered, from its birth or else from the claim. Read with Claim.
  Duration retention{ 0 };
  // How long the run may take before it counts as lost. Read with Claim.
  Duration lease{ 0 };
  // Read with Finish; empty when it exceeds the limit for kept answers.
  std::optional<KeptAnswer> answer;

  bool operator==(const ClaimCommand&) const = default;
};

// The numbers go between hosts: never reuse one.
enum class ClaimVerdict : std::uint8_t
{
  Granted = 1,         // This attempt, and no other, may run.
  Kept = 2,            // It ran; here is its answer.
  AnswerDropped = 3,   // It ran; its answer is not kept.
  Running = 4,         // Another attempt runs; come back.
  MayHaveRun = 5,      // An attempt broke off, or the record of it was lost.
  BodyMismatch = 6,    // The key stands for another call.
  Expired = 7,         // The key is older than the retention; it may have run.
  CreatedInFuture = 8, // The key's birth lies in the future.
  Full = 9,            // No room for another claim; not claimed.
  Withdrawn = 10,      // This attempt was released before; it must not run.
  Recorded = 11,       // Answer to Finish, Abandon and Release.
  NotReady = 12,       // The group does not know yet whether it was formed anew; not claimed.
};

struct ClaimReply
{
  ClaimVerdict verdict = ClaimVerdict::Recorded;
  // With Running: when the lease of the other attempt is over.
  Duration retryAfter{ 0 };
  // With Kept.
  std::optional<KeptAnswer> answer;

  bool operator==(const ClaimReply&) const = default;
};

enum class ClaimState : std::uint8_t
{
  Running = 1,
  Finished = 2,
  Unknown = 3,  // Broke off.
  Released = 4, // Not run; free for another attempt.
};

using ClaimName = std::array<std::uint8_t, 32>;
using ClaimTag = std::array<std::uint8_t, 16>;

// An answer and its place in the order of dropping.
struct StoredAnswer
{
  LogIndex storedAt;
  KeptAnswer answer;
};

// One claim; kept small, as a zone may hold a million.
struct ClaimEntry
{
  WallTime expiry;
  WallTime leaseEnd;
  // Zero for a key without a birth.
  WallTime birth;
  std::unique_ptr<StoredAnswer> answer;
  ClaimTag body{};
  ClaimTag attempt{};
  ClaimState state = ClaimState::Running;
  // Whether `body` is known.
  bool bodyKnown = false;
};

// Decides which attempt may run a call. Deterministic: time comes with the log.
//
//   ClaimRegistry ledger;
//   ClaimReply reply = ledger.Apply(context, command);
//   if (reply.verdict == ClaimVerdict::Granted) ...
//
// Promises, whatever the order and number of commands: at most one attempt of a key is granted
// unless an earlier one was released; a released attempt is not granted again while it is the
// last one of its key; a minted key is never granted at or after its birth plus retention, so
// that forgetting it then cannot lead to a second run. The workspace is part of every name.
class ClaimRegistry
{
public:
  // Bounds that are alike on all replicas.
  struct Limits
  {
    std::size_t claims = 2'000'000;
    // Sum over all kept answers; beyond it the oldest are dropped.
    std::size_t answerBytes = std::size_t{ 64 } << 20;
  };

  ClaimRegistry()
    : ClaimRegistry(Limits{})
  {
  }
  explicit ClaimRegistry(Limits aLimits)
    : limits(aLimits)
  {
  }

  ClaimReply Apply(const ApplyContext& aContext, const ClaimCommand& aCommand);

  std::size_t Size() const { return this->entries.size(); }
  std::size_t AnswerBytes() const { return this->answerBytes; }

  // What a snapshot holds beside the entries.
  struct Header
  {
    Incarnation incarnation{ 1 };
    // When the group was formed anew after losing all its disks; empty for the first.
    std::optional<WallTime> reformedAt;
    // Latest birth among the minted keys that were forgotten.
    WallTime forgottenBirth;
  };
  const Header& GetHeader() const { return this->header; }
  void SetHeader(const Header& aHeader) { this->header = aHeader; }

  // Visits all entries in the order of their names.
  void Visit(const std::function<void(const ClaimName&, const ClaimEntry&)>& aVisitor) const;
  // Puts an entry back from a snapshot.
  void Restore(const ClaimName& aName, ClaimEntry aEntry);

private:
  using Entries = std::map<ClaimName, ClaimEntry>;

  ClaimReply Claim(const ApplyContext& aContext, const ClaimCommand& aCommand);
  // Answers a claim whose key is not in the ledger.
  ClaimReply ClaimNew(const ApplyContext& aContext, const ClaimCommand& aCommand);
  // Answers a claim whose key is.
  ClaimReply ClaimKnown(const ApplyContext& aContext,
                        const ClaimCommand& aCommand,
                        Entries::iterator aFound);
  ClaimReply Settle(const ApplyContext& aContext, const ClaimCommand& aCommand);
  void RecordEarlyRelease(const ApplyContext& aContext, const ClaimCommand& aCommand);
  // Gives the entry to the attempt.
  ClaimReply Grant(const ApplyContext& aContext,
                   const ClaimCommand& aCommand,
                   Entries::iterator aEntry);
  void KeepAnswer(LogIndex aIndex, const ClaimCommand& aCommand, Entries::iterator aEntry);
  void DropAnswer(Entries::iterator aEntry);
  // Moves the entry's end to aExpiry unless it is later already.
  void Extend(Entries::iterator aEntry, WallTime aExpiry);
  void ForgetExpired(WallTime aNow);
  void UpdateIncarnation(const ApplyContext& aContext);
  // Whether an earlier incarnation of the group may have granted the key.
  bool MayPredateReformation(const ApplyContext& aContext, const ClaimCommand& aCommand) const;

  Limits limits;
  Header header;
  Entries entries;
  // Entries by the second in which they end; an entry that was extended stands here twice.
  std::map<std::int64_t, std::vector<Entries::iterator>> expiries;
  std::map<LogIndex, Entries::iterator> answers;
  std::size_t answerBytes = 0;
};

} // namespace damasklink
