// Helpers to write and verify FlatBuffers. Internal to src/protocol.
#pragma once

#include <string>
#include <string_view>

#include <flatbuffers/flatbuffers.h>

#include "damasklink/state/Clock.h"
#include "damasklink/state/Error.h"

namespace damasklink::internal {

// Returns the bytes of a finished buffer.
inline std::string
FinishedBytes(const flatbuffers::FlatBufferBuilder& aBuilder)
{
  return std::string(reinterpret_cast<const char*>(aBuilder.GetBufferPointer()),
                     aBuilder.GetSize());
}

// Returns the root table, or nullptr if the bytes fail verification.
template<typename Root>
const Root*
VerifiedRoot(std::string_view aBytes)
{
  const auto* bytes = reinterpret_cast<const std::uint8_t*>(aBytes.data());
  flatbuffers::Verifier verifier(bytes, aBytes.size());
  return verifier.VerifyBuffer<Root>() ? flatbuffers::GetRoot<Root>(bytes) : nullptr;
}

// The error for bytes from a peer that cannot be decoded.
inline Error
UnreadableMessage()
{
  return Error{ ErrorKind::Corrupt,
                "a message from a peer is malformed",
                "run the same or adjacent versions on all hosts" };
}

// Returns the duration in whole milliseconds, clamped to the maximum of the 32-bit wire field.
inline std::uint32_t
ToWireMilliseconds(Duration aDuration)
{
  const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count();
  constexpr std::int64_t kMax = UINT32_MAX;
  return static_cast<std::uint32_t>(count > kMax ? kMax : count);
}

} // namespace damasklink::internal
