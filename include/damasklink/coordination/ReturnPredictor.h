// Predicts how likely a prompt is to return, that is, to be extended by a later prompt.
#pragma once

#include <cstdint>
#include <deque>
#include <tuple>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "damasklink/state/Ids.h"

namespace damasklink {

struct ReturnPredictorOptions
{
  // Return probability before the first observation.
  double priorShare = 0.5;
  // Number of observations that the prior counts as.
  double priorWeight = 10;
  // Maximum number of answered prompts that are tracked, over all kinds.
  std::uint64_t maxAwaited = 100'000;
};

// Class of prompts with a common statistic: same workspace, same length within a factor of two, and
// either all or none of them returning.
using PromptKind = std::uint16_t;

// Counts for each kind how many of the answered prompts were extended by a later one.
//
//   ReturnPredictor returns(ReturnPredictorOptions{});
//   const bool returning = returns.OnPrompt(blocks);
//   const PromptKind kind = returns.KindOf(workspace, tokens, returning);
//   returns.OnAnswered(kind, blocks);   // The prompt may return from now on.
//   returns.ReturnProbability(kind);
//
// The prior counts like a few observations, so that its influence fades as real ones arrive. Memory
// is bounded. Not thread-safe.
class ReturnPredictor
{
public:
  explicit ReturnPredictor(ReturnPredictorOptions aOptions);

  // Returns the kind of a prompt. When the numbers of kinds are exhausted, new kinds share kind 0.
  PromptKind KindOf(const WorkspaceId& aWorkspace, TokenCount aTokens, bool aReturning);

  // Called for an arriving prompt. Returns whether it extends an answered prompt, which is then
  // counted as returned, once.
  bool OnPrompt(const std::vector<Digest>& aBlocks);

  // Called for an answered prompt. Ignores prompts without a complete block.
  void OnAnswered(PromptKind aKind, const std::vector<Digest>& aBlocks);

  // Returns the probability, between 0 and 1, that a prompt of this kind returns.
  double ReturnProbability(PromptKind aKind) const;

private:
  struct Count
  {
    double answered = 0;
    double returned = 0;
  };

  ReturnPredictorOptions options;
  absl::flat_hash_map<std::tuple<WorkspaceId, int, bool>, PromptKind> kinds;
  std::vector<Count> counts;
  // Last block of each tracked prompt, and its kind.
  absl::flat_hash_map<std::uint64_t, PromptKind> awaited;
  // Keys of `awaited` from oldest to newest; those of returned prompts may remain.
  std::deque<std::uint64_t> awaitedOrder;
};

} // namespace damasklink
