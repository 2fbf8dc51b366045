// One round of asking control hosts which software version began a stream.
//
//   StreamOriginLookup lookup(service, askedHosts);
//   lookup.OnResponse(from, response);       // Until IsDecided(), or the time is over.
//   lookup.Result();
//
// Not thread-safe.
#pragma once

#include <optional>
#include <set>
#include <vector>

#include "damasklink/coordination/ServingMessages.h"

namespace damasklink {

class StreamOriginLookup
{
public:
  StreamOriginLookup(ServiceName aService, const std::vector<HostId>& aAsked);

  // Takes a response. One of a host that was not asked, or has answered, is ignored.
  void OnResponse(const HostId& aFrom, const StreamOriginResponse& aResponse);

  // Returns whether no further response can change the result.
  bool IsDecided() const { return this->origin.has_value() || this->unanswered.empty(); }

  // Returns the origin of the stream, or nothing if it is not known which version began it. The
  // origin of a stream that is not recorded has no key: the service had no other version. That is
  // certain if most control hosts have answered, none of them has seen another version, and one of
  // them has heard of all targets.
  std::optional<StreamOrigin> Result() const;

  // Returns whether the origin may be found once control hosts know more: they know of no more than
  // one version yet.
  bool MayBeCertainLater() const { return this->versions.size() <= 1; }

private:
  ServiceName service;
  std::size_t asked;
  std::set<HostId> unanswered;
  std::optional<StreamOrigin> origin;
  std::set<SoftwareVersion> versions;
  bool complete = false;
};

} // namespace damasklink
