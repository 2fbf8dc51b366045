// Replicated state of idempotency keys: which attempt runs a call, and how it ended.
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

// Operation on a claim. The values are stored in log files: never reuse one.
enum class ClaimVerb : std::uint8_t
{
  Claim = 1,   // Requests the right to run; repeated under the same attempt until answered.
  Finish = 2,  // The run ended with an answer.
  Abandon = 3, // The run broke off; it may have taken effect.
  Release = 4, // Nothing was run, so another attempt may run.
};

// The answer of a run, kept for callers that repeat the call.
struct KeptAnswer
{
  int status = 200;
  std::string contentType;
  std::string body;

  bool operator==(const KeptAnswer&) const = default;
};

// A command to the registry.
struct ClaimCommand
{
  ClaimVerb verb = ClaimVerb::Claim;
  WorkspaceId workspace;
  IdempotencyKey key;
  // Identifies one run; unique across hosts and restarts.
  AttemptId attempt;
  // Digest of method, path, query and body, so that one key is used for one call only. Claim only.
  Digest body;
  // Creation time of a minted key; empty for a caller's own key. Claim and Release only.
  std::optional<WallTime> createdAt;
  // How long the claim is kept, counted from createdAt if it is set, else from the command. Claim
  // and Release only.
  Duration retention{ 0 };
  // How long the run may take before it counts as lost. Claim only.
  Duration lease{ 0 };
  // Empty when it exceeds the size limit for kept answers. Finish only.
  std::optional<KeptAnswer> answer;

  bool operator==(const ClaimCommand&) const = default;
};

// Reply to a command. The values are sent between hosts: never reuse one.
enum class ClaimVerdict : std::uint8_t
{
  Granted = 1,         // This attempt, and no other, may run.
  Kept = 2,            // The call ran; the reply has its answer.
  AnswerDropped = 3,   // The call ran; its answer is not kept.
  Running = 4,         // Another attempt is running; retry later.
  MayHaveRun = 5,      // An attempt broke off, or its record was lost.
  BodyMismatch = 6,    // The key belongs to another call.
  Expired = 7,         // The key is older than the retention; its call may have run.
  CreatedInFuture = 8, // The creation time of the key is in the future.
  Full = 9,            // The registry is full; not claimed.
  Withdrawn = 10,      // This attempt was released earlier; it must not run.
  Recorded = 11,       // Reply to Finish, Abandon and Release.
  NotReady = 12,       // The group does not know yet whether it is a re-formed one; not claimed.
};

struct ClaimReply
{
  ClaimVerdict verdict = ClaimVerdict::Recorded;
  // Time until the lease of the other attempt expires. Running only.
  Duration retryAfter{ 0 };
  // Kept only.
  std::optional<KeptAnswer> answer;

  bool operator==(const ClaimReply&) const = default;
};

enum class ClaimState : std::uint8_t
{
  Running = 1,
  Finished = 2,
  Unknown = 3,  // Broke off; may have run.
  Released = 4, // Not run; another attempt may run.
};

// Digest of workspace and key.
using ClaimName = std::array<std::uint8_t, 32>;
// Truncated digest that stands for a body or an attempt.
using ClaimTag = std::array<std::uint8_t, 16>;

// An answer and the log index that orders answers for dropping.
struct StoredAnswer
{
  LogIndex storedAt;
  KeptAnswer answer;
};

// One claim. Kept small, since a zone may hold a million of them.
struct ClaimEntry
{
  WallTime expiry;
  WallTime leaseEnd;
  // Zero for a caller's own key.
  WallTime createdAt;
  std::unique_ptr<StoredAnswer> answer;
  ClaimTag body{};
  ClaimTag attempt{};
  ClaimState state = ClaimState::Running;
  // False after a Release that arrived before its Claim.
  bool bodyKnown = false;
};

// Decides which attempt may run a call. Deterministic: the time comes with the log entry.
//
//   ClaimRegistry registry;
//   ClaimReply reply = registry.Apply(context, command);
//   if (reply.verdict == ClaimVerdict::Granted) ...
//
// Guarantees for any order and number of commands: at most one attempt of a key is granted unless
// an earlier one was released; a released attempt is not granted again while it is the last one of
// its key; a minted key is never granted at or after its creation time plus retention, so removing
// it then cannot lead to a second run. Keys of different workspaces never match. Not thread-safe.
class ClaimRegistry
{
public:
  // Limits; they must be equal on all replicas.
  struct Limits
  {
    std::size_t claims = 2'000'000;
    // Total size of the kept answers; beyond it the oldest are dropped.
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

  // Part of a snapshot beside the entries.
  struct Header
  {
    Incarnation incarnation{ 1 };
    // When the group was re-formed after losing all its disks; empty for the first incarnation.
    std::optional<WallTime> reformedAt;
    // Latest creation time of the minted keys that were removed.
    WallTime latestRemovedCreation;
  };
  const Header& GetHeader() const { return this->header; }
  void SetHeader(const Header& aHeader) { this->header = aHeader; }

  // Calls aVisitor for each entry, ordered by name.
  void Visit(const std::function<void(const ClaimName&, const ClaimEntry&)>& aVisitor) const;
  // Adds an entry from a snapshot.
  void Restore(const ClaimName& aName, ClaimEntry aEntry);

private:
  using Entries = std::map<ClaimName, ClaimEntry>;

  ClaimReply Claim(const ApplyContext& aContext, const ClaimCommand& aCommand);
  // Handles a claim whose key is not in the registry.
  ClaimReply ClaimNew(const ApplyContext& aContext, const ClaimCommand& aCommand);
  // Handles a claim whose key is in the registry.
  ClaimReply ClaimKnown(const ApplyContext& aContext,
                        const ClaimCommand& aCommand,
                        Entries::iterator aFound);
  // Handles Finish, Abandon and Release.
  ClaimReply Settle(const ApplyContext& aContext, const ClaimCommand& aCommand);
  // Remembers a release that arrives before its claim. Otherwise the late claim would be granted
  // and hold the key although nobody runs it.
  void RecordEarlyRelease(const ApplyContext& aContext, const ClaimCommand& aCommand);
  // Grants the claim to the attempt of aCommand.
  ClaimReply Grant(const ApplyContext& aContext,
                   const ClaimCommand& aCommand,
                   Entries::iterator aEntry);
  void KeepAnswer(LogIndex aIndex, const ClaimCommand& aCommand, Entries::iterator aEntry);
  void DropAnswer(Entries::iterator aEntry);
  // Sets the expiry of the entry to aExpiry, unless it is later already.
  void Extend(Entries::iterator aEntry, WallTime aExpiry);
  void RemoveExpired(WallTime aNow);
  void UpdateIncarnation(const ApplyContext& aContext);
  // Returns whether an earlier incarnation of the group may have granted the key.
  bool MayPredateReformation(const ApplyContext& aContext, const ClaimCommand& aCommand) const;

  Limits limits;
  Header header;
  Entries entries;
  // Entries by the second of their expiry. An entry that was extended is listed under both seconds.
  std::map<std::int64_t, std::vector<Entries::iterator>> expiries;
  std::map<LogIndex, Entries::iterator> answers;
  std::size_t answerBytes = 0;
};

} // namespace damasklink
