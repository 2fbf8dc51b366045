// Encoding of the frame that carries every message between two hosts.
#pragma once

#include <string>
#include <string_view>

#include "damasklink/state/Error.h"
#include "damasklink/state/Ids.h"

namespace damasklink {

// The frame, decoded.
struct Envelope
{
  HostId from;
  std::uint8_t channel = 0;
  GroupId group;
  std::string payload;

  bool operator==(const Envelope&) const = default;
};

std::string
EncodeEnvelope(const Envelope& aEnvelope);

// Fails with Corrupt when the bytes do not verify, and with InvalidArgument for another version.
Result<Envelope>
DecodeEnvelope(std::string_view aBytes);

} // namespace damasklink
