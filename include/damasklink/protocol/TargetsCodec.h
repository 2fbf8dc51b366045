// Encoding of what hosts say to each other about targets.
#pragma once

#include "damasklink/coordination/TargetBroadcaster.h"

namespace damasklink {

std::string
EncodeTargetsMessage(const TargetsMessage& aMessage);

// Fails with Corrupt, or InvalidArgument for a record that cannot be read.
Result<TargetsMessage>
DecodeTargetsMessage(std::string_view aBytes);

} // namespace damasklink
