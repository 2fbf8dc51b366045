#include "damasklink/state/Units.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace damasklink {
namespace {

TEST(UnitsTest, ReadsUnits)
{
  EXPECT_EQ(ParseDuration("250ms").value(), std::chrono::milliseconds(250));
  EXPECT_EQ(ParseDuration("5min").value(), std::chrono::minutes(5));
  EXPECT_EQ(ParseSize("64MiB").value(), ByteCount(64ULL << 20));
}

TEST(UnitsTest, RefusesNumbersWithoutUnitAndOverflow)
{
  for (const char* text : { "250", "", "ms", "-1s", "1.5s", "99999999999999999999h", "1 s" }) {
    EXPECT_FALSE(ParseDuration(text)) << text;
  }
}

RC_GTEST_PROP(UnitsProperty, FormatReadsBack, ())
{
  const Duration duration(*rc::gen::inRange<std::int64_t>(0, 1'000'000'000'000));
  RC_ASSERT(ParseDuration(FormatDuration(duration)).value() == duration);
}

} // namespace
} // namespace damasklink
