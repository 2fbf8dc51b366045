// Encoding of what hosts say to each other about the tree and about being up.
#pragma once

#include "damasklink/coordination/ConfigDistributor.h"

namespace damasklink {

std::string
EncodeConfigMessage(const ConfigMessage& aMessage);

// Fails with Corrupt.
Result<ConfigMessage>
DecodeConfigMessage(std::string_view aBytes);

std::string
EncodeHeartbeat(const Heartbeat& aHeartbeat);

// Fails with Corrupt.
Result<Heartbeat>
DecodeHeartbeat(std::string_view aBytes);

} // namespace damasklink
