// Header of a stored block, and the check that every reader makes.
#pragma once

#include <string_view>

#include "damasklink/coordination/BlockNames.h"
#include "damasklink/state/Error.h"

namespace damasklink {

// Checksum of a block's content; see ChecksumOf().
using Checksum = NumberId<struct ChecksumTag>;

// Returns the checksum of a block's content: the first 8 bytes of its SHA-256.
Checksum
ChecksumOf(std::string_view aContent);

// Identity and checksum of a block, stored with it and checked by every reader.
struct BlockHeader
{
  Digest block;
  BlockScope scope;
  Generation generation;
  ByteCount length;
  Checksum checksum;

  bool operator==(const BlockHeader&) const = default;
};

// Checks a block that was read against the header that was expected. Block name, workspace, model,
// weight version, adapter, generation, length and checksum must all be equal, and the content must
// match length and checksum. Fails with Corrupt.
Result<void>
CheckBlock(const BlockHeader& aExpected, const BlockHeader& aFound, std::string_view aContent);

} // namespace damasklink
