// Runs one policy over a trace: the decision objects that serve, fake engines, stores and links.
#pragma once

#include "PolicyWorkload.h"
#include "damasklink/coordination/CostRouter.h"

namespace damasklink::bench {

enum class PolicyKind
{
  LeastLoaded,
  RandomOfTwo,
  StickyByHash,
  Cost,
  Oracle, // Knows everything, and every block ever computed is in every engine.
};

enum class FaultKind
{
  None,
  StoreLost,
  LinkSlow,
  TargetGone,
  ReportsLate,
  ZoneCut,
};

struct SimOptions
{
  PolicyKind policy = PolicyKind::Cost;
  FaultKind fault = FaultKind::None;
  // Of the policy that is measured.
  CostRouterOptions router;
  bool costBasedAdmission = true;
  bool learnReturns = true;
};

struct SimResult
{
  // Seconds.
  double p50 = 0;
  double p95 = 0;
  double p99 = 0;
  // Prompt tokens computed although they had been computed before, by all prompt tokens.
  double recomputed = 0;
  // Bytes over the links of the stores.
  double imported = 0;
  double exported = 0;
  // Busy time of the busiest engine by the mean.
  double imbalance = 0;
  double LinkBytes() const { return this->imported + this->exported; }
  std::uint64_t prompts = 0;
  std::uint64_t unserved = 0;
};

SimResult
RunPolicy(const UserShape& aUser, const Trace& aTrace, const SimOptions& aOptions);

} // namespace damasklink::bench
