// Finds parts of prompts that crash the targets that answer them; used on control hosts.
//
//   CrashingPartFinder finder(clock);
//   finder.Add(report);                      // From entry hosts and other control hosts.
//   finder.AddSuccessfulRun(run);            // A prompt with the part was answered.
//   finder.Crashing();                       // Parts to refuse.
//
// The requests that run on a target when it crashes have many parts, most of which are innocent.
// The cause is in each crash and never in a successful run. Three properties tell it apart:
//
// - Crashes count for a part if each of them was caused by a request that was sent after the crash
//   before. When many targets end at once for another reason, that holds for none of the requests
//   that they were running.
// - A successful run with a part voids the earlier crashes of the part.
// - If several parts are left, the one that occurs in fewer prompts is the cause, which is the one
//   further behind in the prompt, unless one before it was in more crashes. Crashes with a part
//   that is found to be the cause say nothing about other parts.
//
// Not thread-safe.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "damasklink/coordination/ServingMessages.h"
#include "damasklink/state/Clock.h"

namespace damasklink {

class CrashingPartFinder
{
public:
  static constexpr std::size_t kCrashesToRefuse = 3;
  // Requests that come often crash all targets within moments, and again when these are back. So
  // many crashes are enough if they came in that many waves.
  static constexpr std::size_t kWavesToRefuse = 2;
  static constexpr std::size_t kCrashesInWaves = 5;
  // For a part that has been answered successfully since it was first in a crash.
  static constexpr std::size_t kCrashesAfterSuccess = 5;
  // How many more crashes a part must have than one behind it to be the likelier cause of both.
  static constexpr std::size_t kMoreCrashes = 2;
  // From this number of crashes on, entry hosts report successful runs with the part.
  static constexpr std::size_t kCrashesToSuspect = 2;
  // Least time from the last of the crashes that are needed until a part is refused: reports of
  // successful runs may arrive later. Where a crash was reported later than that, parts have as
  // much time to be answered successfully, since nobody watched for it before.
  static constexpr Duration kSettleTime = std::chrono::milliseconds(500);
  // Least time from a crash until a request is sent that counts as sent after it. The times of
  // other hosts are known this precisely only.
  static constexpr Duration kTimeTolerance = std::chrono::milliseconds(20);
  // Longest time from when a request is sent until it crashes its target, where the target fell
  // silent and nothing else shows when.
  static constexpr Duration kCrashDelay = std::chrono::milliseconds(200);
  // A part in a crash takes about 60 bytes.
  static constexpr std::size_t kMaxCrashes = 256;
  static constexpr std::size_t kMaxReportsPerCrash = 128;
  static constexpr std::size_t kMaxSuccesses = 4096;

  explicit CrashingPartFinder(const Clock& aClock)
    : clock(aClock)
  {
  }

  // Records the parts of a request that was running on a target when it crashed. Does nothing if
  // the report has none, or the same report was added before.
  void Add(const CrashReport& aReport);

  // A prompt with the part was answered. Does nothing if the part was in no crash.
  void AddSuccessfulRun(const SuccessfulRun& aRun);

  // Voids all crashes of a part.
  void Forget(RequestFingerprint aPart);

  // Returns the parts that are found to crash targets.
  std::set<RequestFingerprint> Crashing() const;

  // Returns the other parts that have been in several crashes, at most aMost of them, those with
  // the most crashes first.
  std::vector<RequestFingerprint> Suspects(std::size_t aMost) const;

  // Returns whether the part was found to crash targets when this was last determined.
  bool WasFound(RequestFingerprint aPart) const { return this->findings.contains(aPart); }

  // Returns whether the crashes of the part are explained by another one that is found to be the
  // cause.
  bool IsExplained(RequestFingerprint aPart) const;

  // Returns the workspace of a request with the part; empty if there is none.
  WorkspaceId WorkspaceOf(RequestFingerprint aPart) const;

  // Returns all reports, without their requests, for a control host that has just connected.
  std::vector<CrashReport> All() const;

private:
  using TargetIncarnation = std::pair<TargetId, Incarnation>;
  using PartAtService = std::pair<RequestFingerprint, ServiceName>;

  struct Report
  {
    RequestFingerprint request;
    WorkspaceId workspace;
    std::vector<RequestFingerprint> parts;
    MonotonicTime sentAt;
    // See CrashReport.
    bool silent = false;
    std::optional<MonotonicTime> heardAt;
  };

  struct Crash
  {
    ServiceName service;
    // When the first answer broke off.
    MonotonicTime brokenAt;
    // Time until the first report.
    Duration reportDelay{ 0 };
    std::vector<Report> reports;
  };

  // A crash, and when it was.
  struct EndedTarget
  {
    const Crash* crash = nullptr;
    MonotonicTime end;
    // Requests that were sent later found the target silent. The latest time if it was not.
    MonotonicTime lastSuspect;
  };

  // A crash of which a part may be the cause. Each crash has a number in one evaluation.
  struct Occurrence
  {
    std::size_t crash = 0;
    MonotonicTime at;
    Duration reportDelay{ 0 };
    // When the last request with the part was sent to the target.
    MonotonicTime sentAt;
  };

  struct Candidate
  {
    RequestFingerprint part;
    // The first position in prompts at which the part was seen.
    std::size_t position = 0;
    bool hadSuccess = false;
    // In the order of time.
    std::vector<Occurrence> occurrences;
  };

  struct Finding
  {
    // Since when the part is found to be the cause.
    MonotonicTime since;
    Duration settleTime = kSettleTime;
    std::set<RequestFingerprint> explained;
  };

  void EvictOldest();
  static EndedTarget EndOf(const Crash& aCrash);
  bool IsVoid(RequestFingerprint aPart, const EndedTarget& aTarget) const;
  void AddCandidates(std::size_t aNumber,
                     const EndedTarget& aTarget,
                     std::map<RequestFingerprint, Candidate>& aTo) const;
  std::vector<Candidate> Candidates() const;
  static std::size_t CountSequential(const Candidate& aCandidate,
                                     const std::set<std::size_t>& aExplained);
  static bool IsEnough(const Candidate& aCandidate,
                       std::size_t aSequential,
                       const std::set<std::size_t>& aExplained);
  static bool Covers(const Candidate& aOther,
                     const Candidate& aCandidate,
                     const std::set<std::size_t>& aExplained);
  void Evaluate() const;

  const Clock& clock;
  std::map<TargetIncarnation, Crash> crashes;
  // When a prompt with the part was last answered.
  std::map<PartAtService, MonotonicTime> successes;
  // Derived from the above, and made again on demand after a change.
  mutable bool changed = false;
  mutable std::map<RequestFingerprint, Finding> findings;
  mutable std::vector<RequestFingerprint> suspects;
};

} // namespace damasklink
