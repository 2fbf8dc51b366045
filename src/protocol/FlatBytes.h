// Between FlatBuffers and plain texts. Internal to src/protocol.
#pragma once

#include <string>
#include <string_view>

#include <flatbuffers/flatbuffers.h>

#include "damasklink/state/Clock.h"
#include "damasklink/state/Error.h"

namespace damasklink::internal {

inline std::string
FinishedBytes(const flatbuffers::FlatBufferBuilder& aBuilder)
{
  return std::string(reinterpret_cast<const char*>(aBuilder.GetBufferPointer()),
                     aBuilder.GetSize());
}

// Returns the verified root, or nullptr when the bytes do not verify.
template<typename Root>
const Root*
VerifiedRoot(std::string_view aBytes)
{
  const auto* bytes = reinterpret_cast<const std::uint8_t*>(aBytes.data());
  flatbuffers::Verifier verifier(bytes, aBytes.size());
  return verifier.VerifyBuffer<Root>() ? flatbuffers::GetRoot<Root>(bytes) : nullptr;
}

inline Error
UnreadableMessage()
{
  return Error{ ErrorKind::Corrupt,
                "a message from a peer does not verify",
                "run hosts of versions that are next to each other" };
}

// Returns whole milliseconds that fit the wire; longer ones are cut to the longest.
inline std::uint32_t
ToWireMilliseconds(Duration aDuration)
{
  const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count();
  constexpr std::int64_t kMost = UINT32_MAX;
  return static_cast<std::uint32_t>(count > kMost ? kMost : count);
}

} // namespace damasklink::internal
