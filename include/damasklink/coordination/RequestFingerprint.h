// Fingerprints of requests, by which every host recognizes a repeated request, and of the parts
// that requests have in common.
#pragma once

#include <string_view>

#include "damasklink/state/Ids.h"

namespace damasklink {

// Equal for all repeats of a request on every host; does not depend on request ids.
using RequestFingerprint = NumberId<struct RequestFingerprintTag>;

// Fields in which repeated requests are equal. The views must stay valid during FingerprintOf().
struct RequestIdentity
{
  // Empty on open routes.
  WorkspaceId workspace;
  std::string_view host;
  std::string_view method;
  // Includes the query. The service is not part of the identity, since the configuration may route
  // the same path to another service.
  std::string_view path;
  std::string_view body;
};

// Returns the fingerprint of a part of prompts, given by its id. It differs from those of requests.
RequestFingerprint
FingerprintOfPart(std::string_view aPart);

// Returns the first 64 bits of a SHA-256 digest of the identity, so that nobody can construct
// another request with the fingerprint of a given one.
RequestFingerprint
FingerprintOf(const RequestIdentity& aIdentity);

} // namespace damasklink
