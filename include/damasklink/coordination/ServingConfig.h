// The configuration of a serving deployment: routes, services, limits and keys.
//
// Operators upload it as one document with one version. A codec decodes the document into a
// ServingConfig, and CheckServingConfig() validates it before it comes into force:
//
//   auto checked = CheckServingConfig(config);
//   if (!checked) ...   // The error contains the problem and a remedy.
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

// Determines which calls of a route may be retried.
enum class CallKind
{
  Idempotent,
  NonIdempotent,
  // The answer is a stream of events; may be retried only if the route is resumable.
  Streaming,
};

// Returns the lower-case name used in logs and metrics.
std::string_view
CallKindName(CallKind aKind);

// A service of a route and its weight: the service gets weight / (sum of all weights) of the calls.
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
  // The time limit for the complete answer.
  Duration timeout{ 0 };
  // The latency objective up to the complete answer or, for streams, the first event.
  Duration latencyObjective{ 0 };
  // The objective for the longest pause between two events of a stream.
  Duration pauseObjective{ 0 };
  // 0 is the highest priority.
  int priority = 0;
  std::vector<ServiceShare> shares;
  // The maximum number of targets that one call may be sent to, the first attempt included.
  std::uint64_t mostTargets = 1;
  // Calls need no key.
  bool open = false;
  // Calls contain a prompt, of which targets cache parts.
  bool carriesPrompt = false;
  // A broken stream may be resumed at another target after the last event delivered.
  bool resumable = false;
  // Calls are sent only to these regions; empty means any region.
  std::vector<RegionId> allowedRegions;
};

// The properties of the engines of a service.
struct EngineSpec
{
  // Requests that one engine runs at once.
  std::uint64_t slots = 0;
  // The capacity of the prompt cache.
  TokenCount cacheTokens;
  ByteCount bytesPerToken;
  // In megabits per second.
  double linkRate = 0;
  // The maximum number of concurrent readers of events at one engine.
  std::uint64_t mostWaiting = 0;
  std::vector<ModelName> models;
};

// The properties of a store for cached prompt parts.
struct PromptStoreSpec
{
  Endpoint endpoint;
  ZoneId zone;
  TokenCount cacheTokens;
  // In megabits per second.
  double linkRate = 0;
  std::uint64_t mostWaiting = 0;
  // The store evicts nothing by itself; parts are freed only on request of a control host.
  bool managed = false;
  // The latency of each transfer before its first byte.
  Duration firstByte{ 0 };
};

// The request rate that a cold target of a service accepts: one that has just started, or has
// become cold again.
struct ColdStartSpec
{
  // The total over all entry hosts.
  RequestRate rate;
  // The time until a cold target is warm.
  Duration lasts{ 0 };

  bool operator==(const ColdStartSpec&) const = default;
};

struct ServingService
{
  ServiceName name;
  std::string healthPath;
  // The maximum number of connections that one target accepts in total; 0 if not specified.
  std::uint64_t mostConnections = 0;
  std::optional<EngineSpec> engine;
  std::optional<PromptStoreSpec> store;
  // Empty if cold targets accept the same rate as warm ones.
  std::optional<ColdStartSpec> cold;
};

// Limits on the size and duration of requests from callers. Sizes are in bytes.
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
  // Overrides the priority of the route.
  std::optional<int> priority;
  // Cached prompt parts are not shared with other workspaces.
  bool isolated = false;
  // As for a route; if both are set, calls are sent only to regions in both lists.
  std::vector<RegionId> allowedRegions;
};

struct ServingConfig
{
  Revision version;
  std::vector<ServingRoute> routes;
  std::vector<ServingService> services;
  CallerLimits limits;
  // If empty, calls need no key.
  std::vector<WorkspaceEntry> workspaces;

  // Returns null if there is no such service.
  const ServingService* FindService(const ServiceName& aName) const;
};

// Returns InvalidArgument if a route names an unknown service, two routes have the same host and
// prefix, the weights of a route sum to zero, a timeout is not above zero, a prefix does not begin
// and end with a slash, or two workspaces have the same key.
Result<void>
CheckServingConfig(const ServingConfig& aConfig);

// Returns InvalidArgument if a route or a workspace names a region that is not in aRegions.
Result<void>
CheckRegions(const ServingConfig& aConfig, const std::set<RegionId>& aRegions);

} // namespace damasklink
