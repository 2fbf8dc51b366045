// Encoding of the messages of replicated groups, the payload of the channel Agreement.
#pragma once

#include <string>
#include <string_view>

#include "damasklink/coordination/AgreementMessage.h"
#include "damasklink/state/Error.h"

namespace damasklink {

// Returns the message without its group and hosts, which stand in the envelope.
std::string
EncodeAgreementMessage(const AgreementMessage& aMessage);

// Returns the message with group and hosts empty. Fails with Corrupt when the bytes, or those of an
// entry inside, are not whole.
Result<AgreementMessage>
DecodeAgreementMessage(std::string_view aBytes);

} // namespace damasklink
