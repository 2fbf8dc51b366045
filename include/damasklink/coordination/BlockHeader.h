// What a kept block says of itself, and the check that every reader makes.
#pragma once

#include <string_view>

#include "damasklink/coordination/BlockNames.h"
#include "damasklink/state/Error.h"

namespace damasklink {

// Guards the content of a block; see ChecksumOf().
using Checksum = NumberId<struct ChecksumTag>;
// Returns the checksum of a block's content: the first bytes of its SHA-256.
Checksum
ChecksumOf(std::string_view aContent);

// What the header of a block in a store says; checked by whoever reads the block.
struct BlockHeader
{
  Digest block;
  BlockScope scope;
  Generation generation;
  ByteCount length;
  Checksum checksum;

  bool operator==(const BlockHeader&) const = default;
};

// Returns why the header or content is not what an order says, or success. Workspace, model,
// weight version, adapter, generation, length and checksum must all be equal. Fails with Corrupt.
Result<void>
CheckBlock(const BlockHeader& aOrdered, const BlockHeader& aFound, std::string_view aContent);

} // namespace damasklink
