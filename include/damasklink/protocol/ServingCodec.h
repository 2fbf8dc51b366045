// Encodes the messages that are sent over Channel::Serving.
#pragma once

#include <string>
#include <string_view>

#include "damasklink/coordination/ServingMessages.h"
#include "damasklink/state/Error.h"

namespace damasklink {

std::string
EncodeServingMessage(const ServingMessage& aMessage);

// Encodes a message and compresses it if it is large. An update with many targets shrinks to a
// third or less. Use it for messages that go to many hosts: compressing takes longer than encoding.
std::string
EncodeCompressed(const ServingMessage& aMessage);

// Decodes a message, compressed or not. Fails with Corrupt when the bytes are invalid or contain an
// unknown message kind, host role or target availability.
Result<ServingMessage>
DecodeServingMessage(std::string_view aBytes);

} // namespace damasklink
