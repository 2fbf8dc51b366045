// Which targets are left alone for a while because they keep failing.
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <vector>

#include "damasklink/coordination/ServingPicture.h"
#include "damasklink/coordination/Target.h"
#include "damasklink/state/Clock.h"

namespace damasklink {

// What an attempt tells of its target.
enum class HealthSignal
{
  Good,       // It answered, be it that it is full.
  Bad,        // A broken answer, silence.
  NotReached, // No connection, or what was sent was not even acknowledged.
  None,       // The caller left, or the host stopped.
};

// Ejects a target after failures in a row, or at once when it cannot be reached, for longer each
// time, and lets it back half-open: one request at a time until one succeeds.
//
//   TargetHealth health(clock, seed);
//   health.OnEnd(target, HealthSignal::Bad);
//   std::vector<TargetRecord> fit = health.Filter(targets);
//
// Hosts tell each other of targets that they found gone: with 72 hosts, each would lose a request
// of its own to each dark target, and another one at each try whether it is back. A target that
// several hosts found gone is ejected at all of them, and as its ejections end at different times,
// one host tries it for all.
//
// Never leaves out more than half of what it is given: when most targets fail, the fault is
// likely elsewhere, and an empty pool helps nobody. Not thread-safe.
class TargetHealth
{
public:
  static constexpr int kConsecutiveFailures = 3;
  static constexpr Duration kFirstEjection = std::chrono::seconds(2);
  static constexpr Duration kMaxEjection = std::chrono::seconds(60);
  // Hosts that must have found a target gone within the time below until the others believe it: on
  // a lossy link, one or two of them lose a packet or two.
  static constexpr std::uint64_t kReportsToEject = 3;
  static constexpr Duration kReportWindow = std::chrono::seconds(1);
  // Ejections of what others found gone end over this time: long beside the 0.3 s until a host that
  // tries in vain has told the others.
  static constexpr Duration kProbeSpread = std::chrono::seconds(5);
  // Findings that are kept for hosts that never ask for them.
  static constexpr std::size_t kMaxPendingFindings = 1000;

  TargetHealth(const Clock& aClock, std::uint64_t aSeed)
    : clock(aClock)
    , random(aSeed)
  {
  }

  // Tells that a request was sent to the target.
  void OnStart(const TargetId& aTarget);
  void OnEnd(const TargetId& aTarget, HealthSignal aSign);

  // The target has started again: what its earlier start was sick with is over.
  void OnRestart(const TargetId& aTarget);

  // Returns what this host found since the last call, for the others.
  std::vector<TargetFindings> TakeFindings();

  // Takes what hosts found, this one possibly among them.
  void Take(const std::vector<TargetFindings>& aFindings);

  // Returns the targets that may be sent a request now.
  std::vector<TargetRecord> Filter(const std::vector<TargetRecord>& aTargets) const;

  // Returns whether the target is ejected, or has its one request of the half-open state. For those
  // who keep the floor themselves.
  bool IsOut(const TargetId& aTarget) const;

private:
  struct Entry
  {
    int failures = 0;
    int ejections = 0;
    MonotonicTime ejectedUntil;
    bool probing = false;
    // Hosts that found it gone since a time.
    std::uint64_t findings = 0;
    MonotonicTime findingsSince;
    bool reportedUnreachable = false;
  };

  void Eject(Entry& aEntry);
  void TakeUnreachable(const TargetFindings& aFound);

  const Clock& clock;
  std::minstd_rand random;
  // Targets with a failure since their last success.
  std::map<TargetId, Entry> entries;
  std::map<TargetId, TargetFindings> untold;
};

} // namespace damasklink
