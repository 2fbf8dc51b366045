#include "damasklink/coordination/StreamOriginLookup.h"

#include <utility>

namespace damasklink {

StreamOriginLookup::StreamOriginLookup(ServiceName aService, const std::vector<HostId>& aAsked)
  : service(std::move(aService))
  , asked(aAsked.size())
  , unanswered(aAsked.begin(), aAsked.end())
{
}

void
StreamOriginLookup::OnResponse(const HostId& aFrom, const StreamOriginResponse& aResponse)
{
  if (this->unanswered.erase(aFrom) == 0) {
    return;
  }
  if (aResponse.origin) {
    this->origin = aResponse.origin;
  }
  this->versions.insert(aResponse.versions.begin(), aResponse.versions.end());
  this->complete = this->complete || aResponse.complete;
}

std::optional<StreamOrigin>
StreamOriginLookup::Result() const
{
  if (this->origin) {
    return this->origin;
  }
  const std::size_t answered = this->asked - this->unanswered.size();
  const bool isCertain = answered * 2 > this->asked && this->complete && this->versions.size() == 1;
  if (!isCertain) {
    return std::nullopt;
  }
  return StreamOrigin{ StreamKey(), this->service, *this->versions.begin(), Duration::zero() };
}

} // namespace damasklink
