#include "damasklink/coordination/PromptReuse.h"

namespace damasklink {
namespace {

// Estimate: a token is about four bytes of text.
constexpr std::size_t kBytesPerToken = 4;

} // namespace

void
NoPromptReuse::LookUp(std::string_view aPrompt, RouteRequest& aRequest)
{
  aRequest.promptTokens = TokenCount(aPrompt.size() / kBytesPerToken);
}

void
NoPromptReuse::ImportBlocks(const RouteRequest& /*aRequest*/, const RouteDecision& /*aDecision*/)
{
}

void
NoPromptReuse::OnAnswered(const RouteRequest& /*aRequest*/,
                          const RouteDecision& /*aDecision*/,
                          const AnswerUsage& /*aUsage*/)
{
}

} // namespace damasklink
