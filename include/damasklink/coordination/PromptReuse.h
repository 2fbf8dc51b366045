// Interface through which requests reuse stored prompt blocks.
#pragma once

#include "damasklink/coordination/Router.h"
#include "damasklink/coordination/StreamAssembler.h"

namespace damasklink {

// Looks up the stored blocks of a prompt, imports them into the chosen target and exports blocks of
// prompts that may return. May be called from any traffic thread. A failure costs time, but never
// fails the request.
class PromptReuse
{
public:
  virtual ~PromptReuse() = default;

  // Fills in the prompt's tokens, its block names and the stores that have them. Waits at most a
  // few milliseconds; a store that has not answered by then counts as having none.
  virtual void LookUp(std::string_view aPrompt, RouteRequest& aRequest) = 0;

  // Imports the blocks that the decision names. Waits as long as importing is expected to be
  // cheaper than computing.
  virtual void ImportBlocks(const RouteRequest& aRequest, const RouteDecision& aDecision) = 0;

  // Called after a complete answer; may start an export, without waiting for it.
  virtual void OnAnswered(const RouteRequest& aRequest,
                          const RouteDecision& aDecision,
                          const AnswerUsage& aUsage) = 0;
};

// Implementation without stores: only the engines' own caches are reused.
class NoPromptReuse final : public PromptReuse
{
public:
  void LookUp(std::string_view aPrompt, RouteRequest& aRequest) override;
  void ImportBlocks(const RouteRequest& aRequest, const RouteDecision& aDecision) override;
  void OnAnswered(const RouteRequest& aRequest,
                  const RouteDecision& aDecision,
                  const AnswerUsage& aUsage) override;
};

} // namespace damasklink
