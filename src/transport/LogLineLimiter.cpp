#include "damasklink/transport/LogLineLimiter.h"

#include <utility>

namespace damasklink {

std::optional<std::uint64_t>
LogLineLimiter::Admit(const std::string& aName, LogLevel aLevel, std::int64_t aSecond)
{
  Count& count = this->counts[aName];
  if (count.second != aSecond) {
    count.second = aSecond;
    count.lines = 0;
  }
  const int most = aLevel >= LogLevel::Warning ? kMaxWarningsPerSecond : kMaxLinesPerSecond;
  if (++count.lines > most) {
    ++count.suppressed;
    return std::nullopt;
  }
  return std::exchange(count.suppressed, 0);
}

} // namespace damasklink
