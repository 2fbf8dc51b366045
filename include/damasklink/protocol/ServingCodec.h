// Encoding of the channel Serving.
#pragma once

#include <string>
#include <string_view>

#include "damasklink/coordination/ServingPicture.h"
#include "damasklink/state/Error.h"

namespace damasklink {

std::string
EncodeServingMessage(const ServingMessage& aMessage);

// Fails with Corrupt when the bytes do not verify or hold an unknown kind or standing.
Result<ServingMessage>
DecodeServingMessage(std::string_view aBytes);

} // namespace damasklink
