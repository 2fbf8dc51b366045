#include "damasklink/coordination/ReturnPredictor.h"

#include <limits>

#include "damasklink/coordination/BlockNames.h"

namespace damasklink {
namespace {

// Returns the number of binary digits, so that lengths within a factor of two are in one class.
int
LengthClass(TokenCount aTokens)
{
  int digits = 0;
  for (std::uint64_t value = aTokens.Value(); value > 0; value /= 2) {
    ++digits;
  }
  return digits;
}

} // namespace

ReturnPredictor::ReturnPredictor(ReturnPredictorOptions aOptions)
  : options(aOptions)
{
}

PromptKind
ReturnPredictor::KindOf(const WorkspaceId& aWorkspace, TokenCount aTokens, bool aReturning)
{
  const auto key = std::make_tuple(aWorkspace, LengthClass(aTokens), aReturning);
  const auto found = this->kinds.find(key);
  if (found != this->kinds.end()) {
    return found->second;
  }
  if (this->counts.size() > std::numeric_limits<PromptKind>::max()) {
    return 0;
  }
  const auto kind = static_cast<PromptKind>(this->counts.size());
  this->counts.emplace_back();
  this->kinds.emplace(key, kind);
  return kind;
}

bool
ReturnPredictor::OnPrompt(const std::vector<Digest>& aBlocks)
{
  for (auto block = aBlocks.rbegin(); block != aBlocks.rend(); ++block) {
    const auto found = this->awaited.find(BlockHint(*block));
    if (found != this->awaited.end()) {
      this->counts[found->second].returned += 1;
      this->awaited.erase(found);
      return true;
    }
  }
  return false;
}

void
ReturnPredictor::OnAnswered(PromptKind aKind, const std::vector<Digest>& aBlocks)
{
  if (aBlocks.empty()) {
    return;
  }
  const std::uint64_t last = BlockHint(aBlocks.back());
  this->counts[aKind].answered += 1;
  if (this->awaited.insert_or_assign(last, aKind).second) {
    this->awaitedOrder.push_back(last);
  }
  while (this->awaitedOrder.size() > this->options.maxAwaited) {
    this->awaited.erase(this->awaitedOrder.front());
    this->awaitedOrder.pop_front();
  }
}

double
ReturnPredictor::ReturnProbability(PromptKind aKind) const
{
  const Count& count = this->counts[aKind];
  const double prior = this->options.priorWeight;
  return (count.returned + (prior * this->options.priorShare)) / (count.answered + prior);
}

} // namespace damasklink
