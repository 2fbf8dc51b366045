// What operators declare of a serving deployment: routes, services, limits and keys.
//
// The declaration travels as one document under one version. A codec decodes the document into
// ServingConfig, and CheckServingConfig() says whether it may come into force:
//
//   auto checked = CheckServingConfig(config);
//   if (!checked) ...   // The error names what is wrong and how to mend it.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "damasklink/coordination/Target.h"
#include "damasklink/state/Clock.h"
#include "damasklink/state/Error.h"
#include "damasklink/state/Ids.h"
#include "damasklink/state/Units.h"

namespace damasklink {

// What may be repeated on a route.
enum class CallKind
{
  Idempotent,
  NonIdempotent,
  // A stream of events; repeatable only where the route is resumable.
  Streaming,
};

// Returns the stable lower-case name that logs and metrics use.
std::string_view
CallKindName(CallKind aKind);

// The part of a route's calls that a service gets.
struct ServiceShare
{
  ServiceName service;
  std::uint64_t weight = 1;

  bool operator==(const ServiceShare&) const = default;
};

struct ServingRoute
{
  std::string name;
  // Lower case, without a port.
  std::string host;
  // Begins and ends with a slash.
  std::string prefix;
  CallKind kind = CallKind::NonIdempotent;
  // The longest a caller is kept without its final answer.
  Duration timeout{ 0 };
  // Up to the whole answer, or the first event of a stream.
  Duration latencyObjective{ 0 };
  // The longest pause between the events of a stream.
  Duration pauseObjective{ 0 };
  // 0 is the most urgent.
  int priority = 0;
  std::vector<ServiceShare> shares;
  // Targets that one call may be sent to in all.
  std::uint64_t mostTargets = 1;
  // Needs no key.
  bool open = false;
  // Calls carry a prompt whose parts targets cache.
  bool carriesPrompt = false;
  // A stream may go on at another target after its last event.
  bool resumable = false;
  // Calls stay in these regions; without any, they may go anywhere.
  std::vector<RegionId> allowedRegions;
};

// What the engines of a service are like.
struct EngineSpec
{
  std::uint64_t slots = 0;
  TokenCount cacheTokens;
  ByteCount bytesPerToken;
  // Megabits a second.
  double linkRate = 0;
  // Readers of events that one engine holds at once.
  std::uint64_t mostWaiting = 0;
  std::vector<ModelName> models;
};

// A store of cached prompt parts.
struct PromptStoreSpec
{
  Endpoint endpoint;
  ZoneId zone;
  TokenCount cacheTokens;
  // Megabits a second.
  double linkRate = 0;
  std::uint64_t mostWaiting = 0;
  // Nothing is dropped but on our order.
  bool managed = false;
  // What each transfer waits before its first byte.
  Duration firstByte{ 0 };
};

// What targets of a service bear just after they have started, or once they are cold again.
struct ColdStartSpec
{
  // Of all hosts together.
  RequestRate rate;
  // How long a start takes.
  Duration lasts{ 0 };

  bool operator==(const ColdStartSpec&) const = default;
};

struct ServingService
{
  ServiceName name;
  std::string healthPath;
  // Connections that one target accepts from all callers together; 0 when not said.
  std::uint64_t mostConnections = 0;
  std::optional<EngineSpec> engine;
  std::optional<PromptStoreSpec> store;
  // Nothing where a cold target bears as much as a warm one.
  std::optional<ColdStartSpec> cold;
};

// What a caller may send, and how long it may take.
struct CallerLimits
{
  std::uint64_t headerBytes = 16'384;
  std::uint64_t bodyBytes = 4'194'304;
  Duration headerTimeout = std::chrono::seconds(3);
  Duration idleTimeout = std::chrono::seconds(15);
};

struct WorkspaceEntry
{
  WorkspaceId name;
  std::vector<std::string> keys;
  // Goes before the route's priority.
  std::optional<int> priority;
  // Shares no cached part with another workspace.
  bool isolated = false;
  // As those of a route; where both have some, both bind.
  std::vector<RegionId> allowedRegions;
};

struct ServingConfig
{
  Revision version;
  std::vector<ServingRoute> routes;
  std::vector<ServingService> services;
  CallerLimits limits;
  // Without any, calls need no key.
  std::vector<WorkspaceEntry> workspaces;

  const ServingService* FindService(const ServiceName& aName) const;
};

// Fails with InvalidArgument when a route names an unknown service, two routes have the same host
// and prefix, the weights of a route add up to zero, a timeout is zero, a prefix does not begin and
// end with a slash, or two workspaces hold the same key.
Result<void>
CheckServingConfig(const ServingConfig& aConfig);

// Fails with InvalidArgument when a route or a workspace names a region that is not among these.
Result<void>
CheckRegions(const ServingConfig& aConfig, const std::set<RegionId>& aRegions);

} // namespace damasklink
