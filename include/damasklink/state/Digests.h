// SHA-256 digests of keys, and comparison that takes the same time whatever differs.
#pragma once

#include <array>
#include <cstdint>
#include <string_view>

#include "damasklink/state/Ids.h"

namespace damasklink {

// Returns the lower-case hex SHA-256 of the text.
Digest
DigestOf(std::string_view aText);

// Returns the SHA-256 of the text as bytes, for tables that hold many.
std::array<std::uint8_t, 32>
DigestBytes(std::string_view aText);

// Returns whether both digests are equal; the time taken tells nothing about where they differ.
bool
EqualInConstantTime(const Digest& aLeft, const Digest& aRight);

} // namespace damasklink
