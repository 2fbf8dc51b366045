// The length prefix of frames between hosts: four bytes, the lowest first.
#pragma once

#include <array>
#include <cstddef>

#include "damasklink/state/Units.h"

namespace damasklink {

constexpr std::size_t kFramePrefixBytes = 4;

// A longer frame is no frame of ours.
constexpr std::size_t kMaxFrameBytes = 64 * kMebibyte;

using FramePrefix = std::array<unsigned char, kFramePrefixBytes>;

FramePrefix
EncodeFrameLength(std::size_t aLength);

std::size_t
DecodeFrameLength(const FramePrefix& aPrefix);

} // namespace damasklink
