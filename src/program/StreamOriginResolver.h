// Finds the software version that began a stream which a caller resumes at this entry host.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "damasklink/coordination/StreamOriginLookup.h"
#include "damasklink/coordination/StreamOriginTable.h"
#include "damasklink/transport/EventLoop.h"

namespace damasklink {

// Asks control hosts for the origins of streams that other entry hosts began.
//
//   const auto origin = co_await resolver.Resolve(StreamKeyOf(resumed), service);
//
// Origins arrive at control hosts some hundred milliseconds after the first event, so an unknown
// one is asked for again for a short time; longer if the service may have one version only, which
// control hosts find out when they have a leader. Runs on the event loop's thread.
class StreamOriginResolver
{
public:
  // Longest time of a lookup, and the interval at which control hosts are asked.
  static constexpr Duration kMaxLookupTime = std::chrono::milliseconds(300);
  static constexpr Duration kMaxUncertainTime = std::chrono::milliseconds(1500);
  static constexpr Duration kLookupInterval = std::chrono::milliseconds(60);

  // Returns the control hosts that answer requests.
  using HostsFunction = std::function<std::vector<HostId>()>;
  using SendFunction = std::function<void(const HostId& aTo, const StreamOriginRequest& aRequest)>;

  StreamOriginResolver(asio::io_context& aLoop,
                       const Clock& aClock,
                       const StreamOriginTable& aOrigins,
                       HostsFunction aHosts,
                       SendFunction aSend);

  // Returns StreamOriginLookup::Result(); aStream is empty if the caller does not name the stream.
  // Takes aPatience at most.
  Awaitable<std::optional<StreamOrigin>> Resolve(std::optional<StreamKey> aStream,
                                                 ServiceName aService,
                                                 Duration aPatience);

  void OnResponse(const HostId& aFrom, const StreamOriginResponse& aResponse);

private:
  // A round of requests, and the timer that wakes the coroutine waiting for its end.
  struct Round
  {
    StreamOriginLookup lookup;
    std::shared_ptr<asio::steady_timer> ended;
  };

  Awaitable<StreamOriginLookup> Ask(std::optional<StreamKey> aStream, ServiceName aService);

  asio::io_context& loop;
  const Clock& clock;
  const StreamOriginTable& origins;
  HostsFunction hosts;
  SendFunction send;
  LookupNumber lastNumber;
  std::map<LookupNumber, Round> rounds;
};

} // namespace damasklink
