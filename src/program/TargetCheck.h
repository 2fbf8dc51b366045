// Finds out whether a target whose answer broke off has ended.
#pragma once

#include <functional>
#include <map>
#include <vector>

#include "damasklink/coordination/Target.h"
#include "damasklink/transport/TargetChannel.h"

namespace damasklink {

// A target that failed one answer still accepts connections; one whose process has ended refuses
// them until it is started again. Not thread-safe.
//
//   TargetCheck check(loop, clock);
//   check.Run(record, [] { ... });   // Called where the target has ended.
class TargetCheck
{
public:
  using OnEnded = std::function<void()>;

  // Requires that all outlive the checks, which end with the loop.
  TargetCheck(asio::io_context& aLoop, const Clock& aClock)
    : loop(aLoop)
    , clock(aClock)
  {
  }

  // Those who ask for the same start of a target while one check is under way share it.
  void Run(const TargetRecord& aTarget, OnEnded aOnEnded);

private:
  using TargetStart = std::pair<TargetId, Incarnation>;

  Awaitable<void> Connect(TargetRecord aTarget);

  asio::io_context& loop;
  const Clock& clock;
  std::map<TargetStart, std::vector<OnEnded>> waiting;
};

} // namespace damasklink
