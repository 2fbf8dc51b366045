// Encodes the messages that pass announcements of targets between hosts.
#pragma once

#include "damasklink/coordination/TargetBroadcaster.h"

namespace damasklink {

std::string
EncodeTargetsMessage(const TargetsMessage& aMessage);

// Fails with Corrupt, or with InvalidArgument when a target record in the message is invalid.
Result<TargetsMessage>
DecodeTargetsMessage(std::string_view aBytes);

} // namespace damasklink
