#include "damasklink/state/ThreadTimes.h"

#include <vector>

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include "damasklink/state/Settings.h"

namespace damasklink {
namespace {

constexpr const char* kSchedulerFile = "/proc/thread-self/schedstat";

} // namespace

Result<ThreadTimes>
ReadThreadTimes()
{
  const auto text = ReadWholeFile(kSchedulerFile);
  if (!text) {
    return Fail(text.error());
  }
  return ParseThreadTimes(text.value());
}

Result<ThreadTimes>
ParseThreadTimes(std::string_view aText)
{
  const std::vector<std::string> fields =
    absl::StrSplit(absl::string_view(aText.data(), aText.size()), ' ');
  std::int64_t running = 0;
  std::int64_t waiting = 0;
  if (fields.size() != 3 || !absl::SimpleAtoi(fields[0], &running) ||
      !absl::SimpleAtoi(fields[1], &waiting)) {
    return Fail(ErrorKind::Unavailable,
                "the times of the thread cannot be read",
                "check that /proc is mounted");
  }
  return ThreadTimes{ Duration(running), Duration(waiting) };
}

} // namespace damasklink
