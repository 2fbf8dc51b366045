// The length prefix of frames between hosts: four bytes, little-endian.
#pragma once

#include <array>
#include <cstddef>

#include "damasklink/state/Units.h"

namespace damasklink {

constexpr std::size_t kFramePrefixBytes = 4;

// A length above this is treated as a broken frame.
constexpr std::size_t kMaxFrameBytes = 64 * kMebibyte;

using FramePrefix = std::array<unsigned char, kFramePrefixBytes>;

FramePrefix
EncodeFrameLength(std::size_t aLength);

std::size_t
DecodeFrameLength(const FramePrefix& aPrefix);

} // namespace damasklink
