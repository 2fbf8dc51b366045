// Limits the log lines per second of each event name.
//
//   LogLineLimiter limiter;
//   auto leftOut = limiter.Admit("request_ended", LogLevel::Info, second);
//
// Warnings and errors have a limit of their own: they name the requests whose callers got no whole
// answer, of which there may be many in one second. Not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "damasklink/transport/Log.h"

namespace damasklink {

// Lines per second and event name of warnings and errors.
constexpr int kMaxWarningsPerSecond = 1000;

class LogLineLimiter
{
public:
  // Returns how many lines of this name were suppressed before this one, or nullopt if this one
  // must be suppressed, too.
  std::optional<std::uint64_t> Admit(const std::string& aName,
                                     LogLevel aLevel,
                                     std::int64_t aSecond);

private:
  struct Count
  {
    std::int64_t second = 0;
    int lines = 0;
    std::uint64_t suppressed = 0;
  };

  // By event name. All names are literals in the source, so their number is bounded.
  std::map<std::string, Count> counts;
};

} // namespace damasklink
