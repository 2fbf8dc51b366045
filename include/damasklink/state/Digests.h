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

// Returns whether the text is 64 lower-case hex digits.
bool
IsDigest(const Digest& aDigest);

// A digest as it is kept in large tables: half the size of its text and no allocation.
using DigestBytes = std::array<unsigned char, 32>;

// Returns the SHA-256 of the text as bytes.
DigestBytes
PackedDigestOf(std::string_view aText);

// Requires IsDigest(); anything else gives all zeros, which no key has.
DigestBytes
PackDigest(const Digest& aDigest);

Digest
UnpackDigest(const DigestBytes& aBytes);

// Returns whether both digests are equal; the time taken tells nothing about where they differ.
bool
EqualInConstantTime(const Digest& aLeft, const Digest& aRight);

// Returns 32 bits (FNV-1a) that are the same in all builds, to name things briefly on the wire.
std::uint32_t
ShortHash(std::string_view aText);

// Returns 32 bits that are the same in all builds, each of which depends on the whole text. Use it
// to spread items by rank or by some of the bits: ShortHash() of texts that differ only at their
// ends is too regular for that.
std::uint32_t
MixedHash(std::string_view aText);

} // namespace damasklink
