// Bytes of the log, snapshot and mark files. Internal to src/state.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "damasklink/state/Error.h"

namespace damasklink::internal {

// The version that this program writes, and the only one it reads.
constexpr std::uint32_t kFileVersion = 1;

// The numbers stand in files: never reuse one.
enum class RecordType : std::uint8_t
{
  Entry = 1,
  HardState = 2,
  Reset = 3, // All entries before it are void: a snapshot took their place.
};

struct LogRecord
{
  RecordType type = RecordType::Entry;
  std::string_view payload;
};

// Returns Corrupt with the file and what is wrong with it.
Error
CorruptError(const std::string& aPath, const std::string& aProblem);

inline auto
CorruptFile(const std::string& aPath, const std::string& aProblem)
{
  return Fail(CorruptError(aPath, aProblem));
}

// Returns the bytes that a log file begins with.
std::string
SegmentHeader();

void
AppendRecord(std::string& aBytes, RecordType aType, std::string_view aPayload);

// Reads the records of one log file up to the first that is not whole.
class SegmentReader
{
public:
  // aBytes must outlive the reader and the records it returns.
  SegmentReader(std::string aPath, std::string_view aBytes);

  // Fails with Corrupt when the header is not whole, and InvalidArgument for another version.
  Result<void> ReadHeader();

  // Returns the next record, nothing at the end and from the first damaged one on.
  std::optional<LogRecord> Next();

  bool Good() const { return this->good; }
  // Returns how many bytes from the start are whole.
  std::uint64_t GoodLength() const { return this->offset; }

private:
  std::string path;
  std::string_view bytes;
  std::uint64_t offset = 0;
  bool good = true;
};

// A file that is written once as a whole: magic, version, length, checksum, payload.
std::string
EncodeWholeFile(std::string_view aPayload);

// Fails with Corrupt, or InvalidArgument for another version.
Result<std::string>
DecodeWholeFile(const std::string& aPath, std::string_view aBytes);

// How far the log is synced. Two slots are written in turn, so that one is always whole.
struct MarkSlot
{
  std::uint64_t count = 0;
  std::uint64_t sequence = 0;
  std::uint64_t length = 0;
};

std::string
EncodeMark(const MarkSlot& aSlot);
std::uint64_t
MarkOffset(const MarkSlot& aSlot);

// Returns the newest whole slot; a zero one when nothing was ever written.
Result<MarkSlot>
DecodeMark(const std::string& aPath, std::string_view aBytes);

} // namespace damasklink::internal
