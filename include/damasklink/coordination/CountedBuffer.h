// Bytes that count against the memory of the process while they grow.
//
//   CountedBuffer body(budget, MemoryUse::Responses);
//   if (!body.Reserve(length)) ...   // Optional, when the length is known.
//   if (!body.Append(chunk)) ...     // No room; nothing has changed.
//
// Must not outlive its budget. Not thread-safe.
#pragma once

#include <string>
#include <string_view>

#include "damasklink/coordination/MemoryBudget.h"

namespace damasklink {

class CountedBuffer
{
public:
  CountedBuffer(MemoryBudget& aBudget, MemoryUse aUse)
    : memory(*aBudget.TryReserve(aUse, 0))
  {
  }

  // Makes room for this many bytes in total. Returns false when there is none.
  bool Reserve(std::size_t aBytes);

  // Returns false, and changes nothing, when there is no room.
  bool Append(std::string_view aBytes);

  std::size_t Size() const { return this->bytes.size(); }
  const std::string& Bytes() const { return this->bytes; }
  // Returns how many bytes are reserved.
  std::size_t Capacity() const { return this->capacity; }

  // Returns the bytes, which stay counted until this object goes out of scope.
  std::string TakeBytes() { return std::move(this->bytes); }

private:
  MemoryReservation memory;
  std::string bytes;
  // What is reserved; the string may have some more.
  std::size_t capacity = 0;
};

} // namespace damasklink
