// Encodes the messages of replicated groups, which are sent over Channel::Agreement.
#pragma once

#include <string>
#include <string_view>

#include "damasklink/coordination/AgreementMessage.h"
#include "damasklink/state/Error.h"

namespace damasklink {

// Encodes all fields except the group and the hosts, which the envelope contains.
std::string
EncodeAgreementMessage(const AgreementMessage& aMessage);

// Decodes a message, leaving its group and hosts empty. Fails with Corrupt when the bytes, or those
// of a log entry in them, are invalid, or when the entries' indices are not consecutive.
Result<AgreementMessage>
DecodeAgreementMessage(std::string_view aBytes);

} // namespace damasklink
