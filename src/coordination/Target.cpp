#include "damasklink/coordination/Target.h"

#include <charconv>

namespace damasklink {

std::uint64_t
WeightNumber(const WeightVersion& aVersion)
{
  std::uint64_t number = 0;
  const std::string& text = aVersion.Value();
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

} // namespace damasklink
