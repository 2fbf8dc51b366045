#include "StreamOriginResolver.h"

#include <algorithm>
#include <utility>

namespace damasklink {

StreamOriginResolver::StreamOriginResolver(asio::io_context& aLoop,
                                           const Clock& aClock,
                                           const StreamOriginTable& aOrigins,
                                           HostsFunction aHosts,
                                           SendFunction aSend)
  : loop(aLoop)
  , clock(aClock)
  , origins(aOrigins)
  , hosts(std::move(aHosts))
  , send(std::move(aSend))
{
}

Awaitable<std::optional<StreamOrigin>>
StreamOriginResolver::Resolve(std::optional<StreamKey> aStream,
                              ServiceName aService,
                              Duration aPatience)
{
  const MonotonicTime start = this->clock.MonotonicNow();
  while (true) {
    if (aStream) {
      if (const std::optional<StreamOrigin> known = this->origins.Find(*aStream)) {
        co_return known;
      }
    }
    const MonotonicTime next = this->clock.MonotonicNow() + kLookupInterval;
    const StreamOriginLookup lookup = co_await this->Ask(aStream, aService);
    const Duration named = aStream ? kMaxLookupTime : Duration::zero();
    const Duration most = lookup.MayBeCertainLater() ? kMaxUncertainTime : named;
    const std::optional<StreamOrigin> found = lookup.Result();
    if (found || next >= start + std::min(most, aPatience)) {
      co_return found;
    }
    asio::steady_timer pause(this->loop, next - this->clock.MonotonicNow());
    co_await pause.async_wait(kAsValue);
  }
}

// Asks all control hosts once, and waits for the first origin or for all responses.
Awaitable<StreamOriginLookup>
StreamOriginResolver::Ask(std::optional<StreamKey> aStream, ServiceName aService)
{
  const std::vector<HostId> asked = this->hosts();
  if (asked.empty()) {
    co_return StreamOriginLookup(aService, asked);
  }
  this->lastNumber = this->lastNumber.Next();
  const LookupNumber number = this->lastNumber;
  const auto ended = std::make_shared<asio::steady_timer>(this->loop, kLookupInterval);
  this->rounds.emplace(number, Round{ StreamOriginLookup(aService, asked), ended });
  for (const HostId& host : asked) {
    this->send(host, StreamOriginRequest{ number, aStream, aService });
  }
  co_await ended->async_wait(kAsValue);
  Round round = std::move(this->rounds.extract(number).mapped());
  co_return std::move(round.lookup);
}

void
StreamOriginResolver::OnResponse(const HostId& aFrom, const StreamOriginResponse& aResponse)
{
  const auto found = this->rounds.find(aResponse.number);
  if (found == this->rounds.end()) {
    return;
  }
  found->second.lookup.OnResponse(aFrom, aResponse);
  if (found->second.lookup.IsDecided()) {
    found->second.ended->cancel();
  }
}

} // namespace damasklink
