// Encodes the messages that distribute the configuration tree, and the heartbeats of hosts.
#pragma once

#include "damasklink/coordination/ConfigDistributor.h"

namespace damasklink {

std::string
EncodeConfigMessage(const ConfigMessage& aMessage);

// Fails with Corrupt when the bytes are invalid.
Result<ConfigMessage>
DecodeConfigMessage(std::string_view aBytes);

std::string
EncodeHeartbeat(const Heartbeat& aHeartbeat);

// Fails with Corrupt when the bytes are invalid.
Result<Heartbeat>
DecodeHeartbeat(std::string_view aBytes);

} // namespace damasklink
