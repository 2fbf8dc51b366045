#include "StreamOriginResolver.h"

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
StreamOriginResolver::Resolve(std::optional<StreamKey> aStream, ServiceName aService)
{
  const MonotonicTime end = this->clock.MonotonicNow() + kMaxLookupTime;
  while (true) {
    if (aStream) {
      if (const std::optional<StreamOrigin> known = this->origins.Find(*aStream)) {
        co_return known;
      }
    }
    const MonotonicTime next = this->clock.MonotonicNow() + kLookupInterval;
    const std::optional<StreamOrigin> found = co_await this->Ask(aStream, aService);
    if (found || !aStream || next >= end) {
      co_return found;
    }
    asio::steady_timer pause(this->loop, next - this->clock.MonotonicNow());
    co_await pause.async_wait(kAsValue);
  }
}

// Asks all control hosts once, and waits for the first origin or for all responses.
Awaitable<std::optional<StreamOrigin>>
StreamOriginResolver::Ask(std::optional<StreamKey> aStream, ServiceName aService)
{
  const std::vector<HostId> asked = this->hosts();
  if (asked.empty()) {
    co_return std::nullopt;
  }
  this->lastNumber = this->lastNumber.Next();
  const LookupNumber number = this->lastNumber;
  const auto ended = std::make_shared<asio::steady_timer>(this->loop, kLookupInterval);
  this->rounds.emplace(number, Round{ StreamOriginLookup(aService, asked), ended });
  for (const HostId& host : asked) {
    this->send(host, StreamOriginRequest{ number, aStream, aService });
  }
  co_await ended->async_wait(kAsValue);
  const Round round = std::move(this->rounds.extract(number).mapped());
  co_return round.lookup.Result();
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
