// How likely prompts of one kind are to come back, learnt while serving.
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
  // Share of prompts that is expected to return before any was seen.
  double priorShare = 0.5;
  // How many observations the prior weighs.
  double priorWeight = 10;
  // Prompts whose return is waited for, over all kinds.
  std::uint64_t maxAwaited = 100'000;
};

// A kind of prompt: those of one workspace, of about the same length, that go on with an earlier
// prompt or do not.
using PromptKind = std::uint16_t;

// Counts, per kind, how many of the prompts that were answered were extended by a later one.
//
//   ReturnPredictor returns(ReturnPredictorOptions{});
//   const PromptKind kind = returns.KindOf(workspace, tokens, returning);
//   const bool returning = returns.OnPrompt(blocks);
//   returns.OnAnswered(kind, blocks);   // From now on it may return.
//   returns.ReturnProbability(kind);
//
// The declared prior counts like a few observations, so that it fades as real ones come in.
// Bounded; not thread-safe.
class ReturnPredictor
{
public:
  explicit ReturnPredictor(ReturnPredictorOptions aOptions);

  // Returns the kind of a prompt.
  PromptKind KindOf(const WorkspaceId& aWorkspace, TokenCount aTokens, bool aReturning);

  // Takes note of an arriving prompt by the names of its blocks. Returns whether it goes on with an
  // earlier one, which is then counted as returned.
  bool OnPrompt(const std::vector<Digest>& aBlocks);

  // Takes note of a prompt that was answered.
  void OnAnswered(PromptKind aKind, const std::vector<Digest>& aBlocks);

  // Returns the expected share of prompts of this kind that return, between 0 and 1.
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
  // The last block of each prompt that may return, and its kind.
  absl::flat_hash_map<std::uint64_t, PromptKind> awaited;
  std::deque<std::uint64_t> awaitedOrder;
};

} // namespace damasklink
