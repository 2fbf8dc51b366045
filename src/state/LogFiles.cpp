#include "LogFiles.h"

#include <array>

#include "damasklink/state/Bytes.h"
#include "damasklink/state/Text.h"

namespace damasklink::internal {
namespace {

constexpr std::string_view kSegmentMagic = "DLLG";
constexpr std::string_view kWholeFileMagic = "DLWF";
constexpr std::size_t kMagicBytes = 4;
constexpr std::size_t kSegmentHeaderBytes = kMagicBytes + 4;
constexpr std::size_t kWholeFileHeaderBytes = kMagicBytes + 4 + 8 + 4;
constexpr std::size_t kRecordHeaderBytes = 8;
// A slot has a disk sector of its own, so that writing one cannot harm the other.
constexpr std::uint64_t kMarkSlotStride = 512;
constexpr std::size_t kMarkBytes = 3 * 8 + 4;

// The checksum covers the length too, so that a flipped length is found as such.
std::uint32_t
RecordChecksum(std::string_view aBody)
{
  ByteWriter writer;
  writer.Number32(static_cast<std::uint32_t>(aBody.size()));
  return Crc32c(writer.Take() + std::string(aBody));
}

Result<void>
CheckVersion(const std::string& aPath, std::uint32_t aVersion)
{
  if (aVersion != kFileVersion) {
    return Fail(
      ErrorKind::InvalidArgument,
      Concat(aPath, " has format version ", aVersion, ", this program reads ", kFileVersion),
      "start the version of the program that wrote it");
  }
  return Success();
}

} // namespace

Error
CorruptError(const std::string& aPath, const std::string& aProblem)
{
  return Error{
    ErrorKind::Corrupt,
    Concat(aPath, ": ", aProblem),
    "give this host an empty data folder and let its group fill it; see docs/STATE.md"
  };
}

std::string
SegmentHeader()
{
  ByteWriter writer;
  writer.Number32(kFileVersion);
  return Concat(kSegmentMagic, writer.Take());
}

void
AppendRecord(std::string& aBytes, RecordType aType, std::string_view aPayload)
{
  std::string body(1, static_cast<char>(aType));
  body.append(aPayload);
  ByteWriter header;
  header.Number32(static_cast<std::uint32_t>(body.size()));
  header.Number32(RecordChecksum(body));
  aBytes.append(header.Take());
  aBytes.append(body);
}

SegmentReader::SegmentReader(std::string aPath, std::string_view aBytes)
  : path(std::move(aPath))
  , bytes(aBytes)
{
}

Result<void>
SegmentReader::ReadHeader()
{
  if (this->bytes.size() < kSegmentHeaderBytes ||
      this->bytes.substr(0, kMagicBytes) != kSegmentMagic) {
    this->good = false;
    return CorruptFile(this->path, "does not begin like a log file");
  }
  ByteReader header(this->bytes.substr(kMagicBytes));
  this->offset = kSegmentHeaderBytes;
  return CheckVersion(this->path, header.Number32());
}

std::optional<LogRecord>
SegmentReader::Next()
{
  const std::string_view rest = this->bytes.substr(this->offset);
  if (rest.empty()) {
    return std::nullopt;
  }
  ByteReader header(rest);
  const std::uint32_t length = header.Number32();
  const std::uint32_t checksum = header.Number32();
  const bool whole = header.Ok() && length > 0 && length <= header.Left();
  const std::string_view body =
    whole ? rest.substr(kRecordHeaderBytes, length) : std::string_view();
  if (!whole || RecordChecksum(body) != checksum) {
    this->good = false;
    return std::nullopt;
  }
  this->offset += kRecordHeaderBytes + length;
  return LogRecord{ static_cast<RecordType>(body.front()), body.substr(1) };
}

std::string
EncodeWholeFile(std::string_view aPayload)
{
  ByteWriter writer;
  writer.Number32(kFileVersion);
  writer.Number(aPayload.size());
  writer.Number32(Crc32c(aPayload));
  return Concat(kWholeFileMagic, writer.Take(), aPayload);
}

Result<std::string>
DecodeWholeFile(const std::string& aPath, std::string_view aBytes)
{
  if (aBytes.size() < kWholeFileHeaderBytes || aBytes.substr(0, kMagicBytes) != kWholeFileMagic) {
    return CorruptFile(aPath, "does not begin as it must");
  }
  ByteReader header(aBytes.substr(kMagicBytes));
  if (auto checked = CheckVersion(aPath, header.Number32()); !checked) {
    return Fail(checked.error());
  }
  const std::uint64_t length = header.Number();
  const std::uint32_t checksum = header.Number32();
  const std::string_view payload = aBytes.substr(kWholeFileHeaderBytes);
  if (payload.size() != length || Crc32c(payload) != checksum) {
    return CorruptFile(aPath, "fails its checksum");
  }
  return std::string(payload);
}

std::string
EncodeMark(const MarkSlot& aSlot)
{
  ByteWriter writer;
  writer.Number(aSlot.count);
  writer.Number(aSlot.sequence);
  writer.Number(aSlot.length);
  const std::string content = writer.Take();
  ByteWriter checksum;
  checksum.Number32(Crc32c(content));
  return content + checksum.Take();
}

std::uint64_t
MarkOffset(const MarkSlot& aSlot)
{
  return (aSlot.count % 2) * kMarkSlotStride;
}

Result<MarkSlot>
DecodeMark(const std::string& aPath, std::string_view aBytes)
{
  MarkSlot newest;
  for (const std::uint64_t offset : { std::uint64_t{ 0 }, kMarkSlotStride }) {
    if (aBytes.size() < offset + kMarkBytes) {
      continue;
    }
    const std::string_view slot = aBytes.substr(offset, kMarkBytes);
    ByteReader reader(slot);
    const std::uint64_t count = reader.Number();
    const std::uint64_t sequence = reader.Number();
    const std::uint64_t length = reader.Number();
    const bool whole = reader.Number32() == Crc32c(slot.substr(0, kMarkBytes - 4));
    if (whole && count > newest.count) {
      newest = MarkSlot{ count, sequence, length };
    }
  }
  if (newest.count == 0 && !aBytes.empty()) {
    return CorruptFile(aPath, "fails its checksum");
  }
  return newest;
}

} // namespace damasklink::internal
