// Adds up what several hosts have at targets, from what each of them tells of itself.
//
//   SendsSum sum;
//   sum.Take(news, clock.MonotonicNow());   // What a host has now, where that has changed.
//   sum.Of(target);                         // What all hosts have there.
//   sum.ForgetBefore(clock.MonotonicNow() - memory);
//
// A host tells absolute figures, so a lost message does no lasting harm. A control host adds up the
// entry hosts that tell it, and the sums of other control hosts. Not thread-safe.
#pragma once

#include <map>
#include <set>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "damasklink/coordination/ServingMessages.h"
#include "damasklink/state/Clock.h"

namespace damasklink {

// What runs at one target, as far as it is known.
struct SentLoad
{
  std::uint64_t requests = 0;
  // Prompt tokens among them that the target has not read yet.
  std::uint64_t unread = 0;
  // Tokens of theirs that take up the target's memory.
  std::uint64_t memory = 0;

  bool IsEmpty() const { return *this == SentLoad(); }
  SentLoad& operator+=(const SentLoad& aOther);
  // Takes off what is there at most: figures of different ages may not fit each other.
  SentLoad& operator-=(const SentLoad& aOther);
  bool operator==(const SentLoad&) const = default;
};

class SendsSum
{
public:
  // A control host that tells no sums for this long may be gone; its entry hosts tell another one.
  static constexpr Duration kMemory = std::chrono::seconds(2);

  // Takes what a host has at targets. Its words count until it tells otherwise or is forgotten.
  void Take(const LoadReport& aNews, MonotonicTime aNow);

  // Returns the targets at which the host had something.
  std::vector<TargetId> Forget(const HostId& aHost);

  // Forgets hosts that have told nothing since a time: they may be gone, and their requests too.
  // Returns the targets at which they had something.
  std::vector<TargetId> ForgetBefore(MonotonicTime aTime);

  // Adds the targets at which any host has something.
  void AddTargets(std::set<TargetId>& aTo) const;

  SentLoad Of(const TargetId& aTarget) const;

private:
  struct Host
  {
    MonotonicTime heard;
    absl::flat_hash_map<TargetId, SentLoad> loads;
  };

  void Drop(const Host& aHost);

  std::map<HostId, Host> hosts;
  absl::flat_hash_map<TargetId, SentLoad> sums;
};

// Writes a load, and parts that were sent, as hosts tell them.
InFlightLoad
StateSends(const TargetId& aTarget, const SentLoad& aLoad, std::vector<SizedPart> aParts);

} // namespace damasklink
