#include "damasklink/transport/FrameCodec.h"

namespace damasklink {

FramePrefix
EncodeFrameLength(std::size_t aLength)
{
  FramePrefix prefix{};
  for (std::size_t index = 0; index < kFramePrefixBytes; ++index) {
    prefix[index] = static_cast<unsigned char>(aLength >> (8 * index));
  }
  return prefix;
}

std::size_t
DecodeFrameLength(const FramePrefix& aPrefix)
{
  std::size_t length = 0;
  for (std::size_t index = 0; index < kFramePrefixBytes; ++index) {
    length |= static_cast<std::size_t>(aPrefix[index]) << (8 * index);
  }
  return length;
}

} // namespace damasklink
