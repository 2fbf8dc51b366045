// Encoding of the messages over Channel::Stores (schema/Stores.fbs).
#pragma once

#include <string>
#include <string_view>

#include "damasklink/coordination/StoreMessages.h"

namespace damasklink {

std::string
EncodeStoresMessage(const StoresMessage& aMessage);

// Fails with Corrupt when the bytes do not verify.
Result<StoresMessage>
DecodeStoresMessage(std::string_view aBytes);

} // namespace damasklink
