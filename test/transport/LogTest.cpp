#include "damasklink/transport/Log.h"

#include <unistd.h>

#include <ctime>
#include <string>

#include <gtest/gtest.h>

namespace damasklink {
namespace {

// Standard output is a pipe for as long as this lives.
class PipeOutput
{
public:
  PipeOutput()
    : kept(dup(STDOUT_FILENO))
  {
    EXPECT_EQ(pipe(this->ends), 0);
    dup2(this->ends[1], STDOUT_FILENO);
  }

  ~PipeOutput()
  {
    dup2(this->kept, STDOUT_FILENO);
    close(this->kept);
    close(this->ends[0]);
    close(this->ends[1]);
  }

  // Returns what has been written so far, at most what the pipe holds.
  std::string Read() const
  {
    std::string text(1 << 20, '\0');
    const ssize_t count = read(this->ends[0], text.data(), text.size());
    text.resize(count < 0 ? 0 : static_cast<std::size_t>(count));
    return text;
  }

private:
  int kept;
  int ends[2] = { -1, -1 };
};

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
  // Far more than a pipe holds; each name is below its own bound.
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
  // Few enough for the pipe to hold them all, were they written.
  constexpr int kLines = 4 * kMaxLinesPerSecond;
  const std::time_t begun = std::time(nullptr);
  for (int number = 0; number < kLines; ++number) {
    LogEvent(LogLevel::Info, "storm");
  }
  const std::time_t seconds = std::time(nullptr) - begun + 1;
  const std::string written = output.Read();
  EXPECT_GE(CountOf(written, "event=storm"), static_cast<std::size_t>(kMaxLinesPerSecond));
  EXPECT_LE(CountOf(written, "event=storm"),
            static_cast<std::size_t>(seconds) * kMaxLinesPerSecond);
}

} // namespace
} // namespace damasklink
