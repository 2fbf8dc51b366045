#include "damasklink/coordination/ResponseBuffer.h"

#include <algorithm>

namespace damasklink {
namespace {

// Part of the memory that responses may hold when another one without a stated length gets room.
constexpr std::size_t kUnstatedPart = 2;

} // namespace

ResponseBuffer::ResponseBuffer(MemoryBudget& aBudget, std::optional<std::uint64_t> aStatedLength)
  : budget(aBudget)
  , statedLength(aStatedLength)
  , buffer(aBudget, MemoryUse::Responses)
{
}

bool
ResponseBuffer::Append(std::string_view aBytes)
{
  const bool small = this->Size() + aBytes.size() <= MemoryBudget::kSmallBytes;
  if (!small && !this->reservedAll && !this->ReserveAll()) {
    return false;
  }
  return this->buffer.Append(aBytes);
}

bool
ResponseBuffer::ReserveAll()
{
  const std::size_t bytes = this->statedLength.value_or(kMaxBytes);
  if (!this->statedLength) {
    const std::size_t held = this->budget.HeldFor(MemoryUse::Responses);
    const std::size_t others = held - std::min(held, this->buffer.Capacity());
    // A process with little memory keeps one at a time.
    if (others > 0 && others + bytes > this->budget.Limit() / kUnstatedPart) {
      return false;
    }
  }
  this->reservedAll = this->buffer.Reserve(bytes);
  return this->reservedAll;
}

} // namespace damasklink
