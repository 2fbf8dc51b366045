// The memory of this process, as the system sees it.
#pragma once

#include <string_view>

#include "damasklink/state/Error.h"
#include "damasklink/state/Ids.h"

namespace damasklink {

// Makes the allocator return large blocks to the system as soon as they are freed. By default it
// raises its threshold when the first one is freed, and later ones stay resident. To be called at
// the start of the process.
void
ReturnLargeBlocks();

// Returns the resident memory of this process. Fails with Unavailable where the system does not
// tell it.
Result<ByteCount>
ReadResidentMemory();

// Reads the text of /proc/self/statm: numbers of pages, the second of which are resident.
Result<ByteCount>
ParseResidentMemory(std::string_view aText, std::size_t aPageBytes);

} // namespace damasklink
