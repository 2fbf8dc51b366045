// Encoding of the channel Serving.
#pragma once

#include <string>
#include <string_view>

#include "damasklink/coordination/ServingMessages.h"
#include "damasklink/state/Error.h"

namespace damasklink {

std::string
EncodeServingMessage(const ServingMessage& aMessage);

// As above, and a large one in a third of the bytes or less where it repeats itself, as pictures of
// many targets do: for what goes to many hosts, since packing takes longer than encoding.
std::string
EncodeCompressed(const ServingMessage& aMessage);

// Reads what either of them wrote. Fails with Corrupt when the bytes do not verify or hold an
// unknown kind or standing.
Result<ServingMessage>
DecodeServingMessage(std::string_view aBytes);

} // namespace damasklink
