#include "damasklink/state/Units.h"

#include <array>
#include <limits>

#include "damasklink/state/Text.h"
#include <absl/strings/numbers.h>

namespace damasklink {
namespace {

struct Unit
{
  std::string_view suffix;
  std::uint64_t factor;
};

// Longest first where one suffix ends another.
constexpr std::array<Unit, 7> kDurationUnits{ {
  { "min", 60'000'000'000 },
  { "ms", 1'000'000 },
  { "us", 1'000 },
  { "ns", 1 },
  { "s", 1'000'000'000 },
  { "h", 3'600'000'000'000 },
  { "d", 86'400'000'000'000 },
} };

constexpr std::array<Unit, 5> kSizeUnits{ {
  { "KiB", kKibibyte },
  { "MiB", kMebibyte },
  { "GiB", kGibibyte },
  { "TiB", kGibibyte* kKibibyte },
  { "B", 1 },
} };

template<std::size_t N>
Result<std::uint64_t>
ParseWithUnit(std::string_view aText, const std::array<Unit, N>& aUnits, std::string_view aExample)
{
  for (const Unit& unit : aUnits) {
    if (!aText.ends_with(unit.suffix)) {
      continue;
    }
    const std::string_view digits = aText.substr(0, aText.size() - unit.suffix.size());
    const bool plain =
      !digits.empty() && digits.find_first_not_of("0123456789") == std::string_view::npos;
    std::uint64_t number = 0;
    if (!plain || !absl::SimpleAtoi(ForAbsl(digits), &number)) {
      break;
    }
    constexpr auto kMost = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    if (number > kMost / unit.factor) {
      return Fail(
        ErrorKind::InvalidArgument, Concat("'", aText, "' is too large"), "write a smaller number");
    }
    return number * unit.factor;
  }
  return Fail(ErrorKind::InvalidArgument,
              Concat("'", aText, "' is not a whole number with a unit"),
              Concat("write it like ", aExample));
}

} // namespace

Result<Duration>
ParseDuration(std::string_view aText)
{
  auto number = ParseWithUnit(aText, kDurationUnits, "250ms, 15s, 5min or 48h");
  if (!number) {
    return Fail(number.error());
  }
  return Duration(static_cast<std::int64_t>(number.value()));
}

Result<ByteCount>
ParseSize(std::string_view aText)
{
  auto number = ParseWithUnit(aText, kSizeUnits, "512B, 64KiB, 64MiB or 2GiB");
  if (!number) {
    return Fail(number.error());
  }
  return ByteCount(number.value());
}

std::string
FormatDuration(Duration aDuration)
{
  const auto count = static_cast<std::uint64_t>(aDuration.count());
  const Unit* best = nullptr;
  for (const Unit& unit : kDurationUnits) {
    const bool exact = count % unit.factor == 0;
    if (exact && (best == nullptr || unit.factor > best->factor)) {
      best = &unit;
    }
  }
  if (count == 0) {
    return "0s";
  }
  return Concat(count / best->factor, best->suffix);
}

} // namespace damasklink
