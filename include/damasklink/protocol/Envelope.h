// Encodes the envelope around each message between two hosts.
#pragma once

#include <string>
#include <string_view>

#include "damasklink/state/Error.h"
#include "damasklink/state/Ids.h"

namespace damasklink {

// A message with its sender, channel and group.
struct Envelope
{
  HostId from;
  std::uint8_t channel = 0;
  GroupId group;
  std::string payload;
  // Whether the sender puts fragments together.
  bool takesFragments = false;
  // Of which message of this connection the payload is a fragment, and the bytes of that message.
  // Zero for a whole message.
  std::uint64_t message = 0;
  std::uint64_t totalBytes = 0;

  bool operator==(const Envelope&) const = default;
};

std::string
EncodeEnvelope(const Envelope& aEnvelope);

// Fails with Corrupt when the bytes are invalid, and with InvalidArgument when the sender uses
// another protocol version.
Result<Envelope>
DecodeEnvelope(std::string_view aBytes);

} // namespace damasklink
