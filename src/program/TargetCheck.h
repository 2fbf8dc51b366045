// Finds out whether a target whose answer broke off has ended.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "damasklink/coordination/Target.h"
#include "damasklink/transport/TargetChannel.h"

namespace damasklink {

// A target that failed one answer still accepts connections; one whose process has ended refuses
// them until it is started again. Where somebody else listens at its address, each connection is
// accepted and ended at once: so is one to a target that has too many, but such a target goes on
// with what it runs. Not thread-safe.
//
//   TargetCheck check(loop, clock);
//   check.Run(record, [](EndProof aProof) { ... });   // Called where the target has ended.
//   check.OnBytes(target);           // It lives.
enum class EndProof
{
  // Nobody listens at its address. What was sent there had been sent before it ended.
  Refused,
  // Somebody listens there who ends each connection: so was, perhaps, what was sent afterwards.
  Dropped,
};

class TargetCheck
{
public:
  using OnEnded = std::function<void(EndProof)>;

  // Requires that all outlive the checks, which end with the loop.
  TargetCheck(asio::io_context& aLoop, const Clock& aClock)
    : loop(aLoop)
    , clock(aClock)
  {
  }

  // Those who ask for the same start of a target while one check is under way share it.
  void Run(const TargetRecord& aTarget, OnEnded aOnEnded);

  // Tells that an answer of the target goes on.
  void OnBytes(const TargetId& aTarget)
  {
    if (!this->waiting.empty()) {
      this->alive.insert(aTarget);
    }
  }

private:
  // What a connection to the target showed.
  enum class Finding
  {
    Open,
    // Nobody listens.
    Refused,
    // It was ended without a word.
    Dropped,
    // No answer, which a lost link gives too.
    Nothing,
  };

  using TargetStart = std::pair<TargetId, Incarnation>;

  Awaitable<void> Check(TargetRecord aTarget);
  Awaitable<std::optional<EndProof>> FindProof(TargetRecord aTarget);
  Awaitable<Finding> Connect(Endpoint aAddress);

  asio::io_context& loop;
  const Clock& clock;
  std::map<TargetStart, std::vector<OnEnded>> waiting;
  // Targets that were heard of while a check was under way.
  std::set<TargetId> alive;
};

} // namespace damasklink
