// Bytes of log entries, hard states and snapshots; the same in files and in messages.
#pragma once

#include <string>
#include <string_view>

#include "damasklink/state/Error.h"
#include "damasklink/state/LogEntry.h"

namespace damasklink {

// Each Decode function fails with Corrupt when the bytes are not what its Encode function wrote.

std::string
EncodeEntry(const LogEntry& aEntry);
Result<LogEntry>
DecodeEntry(std::string_view aBytes);

std::string
EncodeHardState(const HardState& aState);
Result<HardState>
DecodeHardState(std::string_view aBytes);

std::string
EncodeSnapshot(const Snapshot& aSnapshot);
Result<Snapshot>
DecodeSnapshot(std::string_view aBytes);

// Whole nanoseconds since the epoch, for files and messages.
std::uint64_t
EncodeWallTime(WallTime aTime);
WallTime
DecodeWallTime(std::uint64_t aNanoseconds);

} // namespace damasklink
