// Reading and printing durations and sizes with their units, as settings write them.
#pragma once

#include <compare>
#include <string>
#include <string_view>

#include "damasklink/state/Clock.h"
#include "damasklink/state/Error.h"
#include "damasklink/state/Ids.h"

namespace damasklink {

// How often requests may come.
struct RequestRate
{
  double perSecond = 0;

  // clang-tidy 14 mistakes the generated comparison with zero for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const RequestRate&) const = default;
};

constexpr std::uint64_t kKibibyte = 1024;
constexpr std::uint64_t kMebibyte = kKibibyte * kKibibyte;
constexpr std::uint64_t kGibibyte = kMebibyte * kKibibyte;

// Returns the duration that a text such as "250ms", "15s", "5min" or "48h" names.
// Fails with InvalidArgument when the unit is missing or unknown, or the number is not a
// non-negative whole one that fits.
Result<Duration>
ParseDuration(std::string_view aText);

// Returns the size that a text such as "512B", "64KiB", "64MiB" or "2GiB" names.
// Fails with InvalidArgument like ParseDuration().
Result<ByteCount>
ParseSize(std::string_view aText);

// Returns the shortest exact text that ParseDuration() reads back.
std::string
FormatDuration(Duration aDuration);

// Returns the duration for people and logs, cut to whole milliseconds.
inline std::int64_t
WholeMilliseconds(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count();
}

} // namespace damasklink
