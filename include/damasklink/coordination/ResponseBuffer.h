// Keeps the body of a response until it is whole, within the memory of the process.
//
//   ResponseBuffer body(budget, statedLength);
//   while (...) {
//     if (!body.Append(chunk)) ...   // No room; nothing has changed.
//   }
//   Deliver(std::move(body).TakeBuffer());
//
// A body counts by what has come until it is no longer small. Then all that it may still become is
// reserved at once: bodies that grew side by side would fill the memory, and none could be
// completed. A body without a stated length may have no end, so such bodies get their room only
// while all responses hold a part of the memory.
//
// Must not outlive its budget. Not thread-safe.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "damasklink/coordination/CountedBuffer.h"

namespace damasklink {

class ResponseBuffer
{
public:
  // Largest response that is kept. A larger one must be a stream.
  static constexpr std::size_t kMaxBytes = std::size_t{ 4 } * 1024 * 1024;

  // Requires that the stated length is no larger than kMaxBytes.
  ResponseBuffer(MemoryBudget& aBudget, std::optional<std::uint64_t> aStatedLength);

  // Returns false, and changes nothing, when there is no room. Requires that the body stays within
  // kMaxBytes.
  bool Append(std::string_view aBytes);

  std::size_t Size() const { return this->buffer.Size(); }

  CountedBuffer TakeBuffer() && { return std::move(this->buffer); }

private:
  bool ReserveAll();

  MemoryBudget& budget;
  std::optional<std::size_t> statedLength;
  CountedBuffer buffer;
  bool reservedAll = false;
};

} // namespace damasklink
