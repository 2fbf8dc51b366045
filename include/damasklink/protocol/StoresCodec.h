// Encodes the messages that are sent over Channel::Stores (schema/Stores.fbs).
#pragma once

#include <string>
#include <string_view>

#include "damasklink/coordination/StoreMessages.h"

namespace damasklink {

std::string
EncodeStoresMessage(const StoresMessage& aMessage);

// Fails with Corrupt when the bytes are invalid.
Result<StoresMessage>
DecodeStoresMessage(std::string_view aBytes);

} // namespace damasklink
