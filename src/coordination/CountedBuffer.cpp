#include "damasklink/coordination/CountedBuffer.h"

#include <algorithm>

namespace damasklink {
namespace {

constexpr std::size_t kMinCapacity = 4096;

} // namespace

bool
CountedBuffer::Reserve(std::size_t aBytes)
{
  if (aBytes <= this->capacity) {
    return true;
  }
  // Both copies exist while the bytes are moved.
  const std::size_t old = this->bytes.empty() ? 0 : this->capacity;
  if (!this->memory.TryResize(old + aBytes)) {
    return false;
  }
  this->bytes.reserve(aBytes);
  this->capacity = aBytes;
  this->memory.TryResize(aBytes);
  return true;
}

bool
CountedBuffer::Append(std::string_view aBytes)
{
  const std::size_t needed = this->bytes.size() + aBytes.size();
  if (needed > this->capacity &&
      !this->Reserve(std::max({ needed, this->capacity * 2, kMinCapacity })) &&
      !this->Reserve(needed)) {
    return false;
  }
  this->bytes.append(aBytes);
  return true;
}

} // namespace damasklink
