#include "damasklink/state/ProcessMemory.h"

#include <malloc.h>
#include <unistd.h>

#include <vector>

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include "damasklink/state/Settings.h"
#include "damasklink/state/Units.h"

namespace damasklink {
namespace {

constexpr const char* kStatmFile = "/proc/self/statm";

// Blocks of this size and above are mapped by themselves.
constexpr int kMappedBlockBytes = 128 * 1024;

} // namespace

void
ReturnLargeBlocks()
{
  // Called before other threads use the allocator.
  ::mallopt(M_MMAP_THRESHOLD, kMappedBlockBytes); // NOLINT(concurrency-mt-unsafe)
  ::mallopt(M_TRIM_THRESHOLD, kMappedBlockBytes); // NOLINT(concurrency-mt-unsafe)
}

Result<ByteCount>
ReadResidentMemory()
{
  const auto text = ReadWholeFile(kStatmFile);
  if (!text) {
    return Fail(text.error());
  }
  return ParseResidentMemory(text.value(), static_cast<std::size_t>(::sysconf(_SC_PAGESIZE)));
}

Result<ByteCount>
ParseResidentMemory(std::string_view aText, std::size_t aPageBytes)
{
  const std::vector<std::string> fields =
    absl::StrSplit(absl::string_view(aText.data(), aText.size()), ' ');
  std::uint64_t pages = 0;
  if (fields.size() < 2 || !absl::SimpleAtoi(fields[1], &pages)) {
    return Fail(ErrorKind::Unavailable,
                "the resident memory of the process cannot be read",
                "check that /proc is mounted");
  }
  return ByteCount(pages * aPageBytes);
}

} // namespace damasklink
