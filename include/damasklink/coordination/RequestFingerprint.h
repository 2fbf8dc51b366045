// Names a request by what it asks for, so that its repeats are known at every host.
#pragma once

#include <string_view>

#include "damasklink/state/Ids.h"

namespace damasklink {

// The same for all repeats of a request, whatever their request ids and on every host.
using RequestFingerprint = NumberId<struct RequestFingerprintTag>;

// What makes two requests the same. The texts must outlive the call that takes them.
struct RequestIdentity
{
  // Empty on open routes.
  WorkspaceId workspace;
  std::string_view host;
  std::string_view method;
  // With the query. Not the service: the configuration may lead the same path to another one.
  std::string_view path;
  std::string_view body;
};

// Returns the first 64 bits of a SHA-256 digest: nobody can make another request that bears the
// fingerprint of a given one.
RequestFingerprint
FingerprintOf(const RequestIdentity& aIdentity);

} // namespace damasklink
