// The seam between a request's life and the reuse of kept prompt state.
#pragma once

#include "damasklink/coordination/Router.h"
#include "damasklink/coordination/StreamAssembler.h"

namespace damasklink {

// Looks kept blocks up, brings them to the chosen target and keeps what may return. Safe from any
// traffic thread. A failure costs time, never the request.
class PromptReuse
{
public:
  virtual ~PromptReuse() = default;

  // Fills in the prompt's tokens, block names and where they are kept. Waits a few milliseconds
  // at most; what is not known by then counts as not kept.
  virtual void LookUp(std::string_view aPrompt, RouteRequest& aRequest) = 0;

  // Imports what the decision says, waiting while that is expected to be faster than to compute.
  virtual void ImportBlocks(const RouteRequest& aRequest, const RouteDecision& aDecision) = 0;

  // Takes note of a whole answer; may order an export, without waiting for it.
  virtual void OnAnswered(const RouteRequest& aRequest,
                          const RouteDecision& aDecision,
                          const AnswerUsage& aUsage) = 0;
};

// Reuses nothing but what the engines' own caches hold.
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
