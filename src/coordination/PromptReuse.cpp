#include "damasklink/coordination/PromptReuse.h"

namespace damasklink {
namespace {

// Engines count about four bytes of text as a token.
constexpr std::size_t kBytesPerToken = 4;

} // namespace

void
NoReuse::LookUp(std::string_view aPrompt, RouteRequest& aRequest)
{
  aRequest.promptTokens = TokenCount(aPrompt.size() / kBytesPerToken);
}

void
NoReuse::Bring(const RouteRequest& /*aRequest*/, const RouteDecision& /*aDecision*/)
{
}

void
NoReuse::Keep(const RouteRequest& /*aRequest*/,
              const RouteDecision& /*aDecision*/,
              const AnswerUsage& /*aUsage*/)
{
}

} // namespace damasklink
