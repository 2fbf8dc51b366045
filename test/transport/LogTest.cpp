#include "damasklink/transport/Log.h"

#include "damasklink/transport/ResultLog.h"

#include <ctime>
#include <string>

#include <gtest/gtest.h>

#include "support/PipeOutput.h"

namespace damasklink {
namespace {

using testing::PipeOutput;

std::size_t
CountOf(const std::string& aText, const std::string& aPart)
{
  std::size_t count = 0;
  for (std::size_t at = aText.find(aPart); at != std::string::npos;
       at = aText.find(aPart, at + 1)) {
    ++count;
  }
  return count;
}

TEST(LogTest, StalledReaderDoesNotBlockLogging)
{
  PipeOutput output;
  LogToStandardOutput();
  // Exceeds the capacity of a pipe. Each name stays below its limit per second.
  const std::string filler(1000, 'x');
  for (int number = 0; number < 2000; ++number) {
    LogEvent(LogLevel::Info, "filler_" + std::to_string(number)).With("text", filler);
  }
  const std::string first = output.Read();
  EXPECT_GT(CountOf(first, "event=filler_"), 10U);
  EXPECT_LT(CountOf(first, "event=filler_"), 2000U);
  LogEvent(LogLevel::Info, "afterwards").With("text", "y");
  const std::string then = output.Read();
  EXPECT_EQ(CountOf(then, "event=log_lines_dropped count="), 1U);
  EXPECT_EQ(CountOf(then, "event=afterwards"), 1U);
}

TEST(LogTest, LimitsLinesOfOneEventPerSecond)
{
  PipeOutput output;
  LogToStandardOutput();
  // Few enough for the capacity of the pipe, even if all of them were written.
  constexpr int kLines = 4 * kMaxLinesPerSecond;
  const std::time_t start = std::time(nullptr);
  for (int number = 0; number < kLines; ++number) {
    LogEvent(LogLevel::Info, "storm");
  }
  const std::time_t seconds = std::time(nullptr) - start + 1;
  const std::string written = output.Read();
  EXPECT_GE(CountOf(written, "event=storm"), static_cast<std::size_t>(kMaxLinesPerSecond));
  EXPECT_LE(CountOf(written, "event=storm"),
            static_cast<std::size_t>(seconds) * kMaxLinesPerSecond);
}

// Guards against a field that tells of an error where there was none.
TEST(LogTest, OnlyAFailureHasAnError)
{
  PipeOutput output;
  LogToStandardOutput();
  {
    LogEvent event(LogLevel::Info, "succeeded");
    AddError(event, Result<int>(1));
  }
  EXPECT_EQ(CountOf(output.Read(), "error="), 0U);
  {
    LogEvent event(LogLevel::Info, "failed");
    AddError(event, Result<int>(Fail(ErrorKind::NotFound, "no such zone", "name another")));
  }
  EXPECT_EQ(CountOf(output.Read(), "error=\"not_found: no such zone; name another\""), 1U);
}

} // namespace
} // namespace damasklink
