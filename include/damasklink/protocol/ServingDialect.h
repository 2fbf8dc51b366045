// Interfaces between this program and the HTTP messages of a platform.
//
// The program works with the types below. The implementation for a platform reads and writes them
// as the headers, paths and bodies of that platform, which no other code knows. To support another
// platform, implement these interfaces.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "damasklink/coordination/ServingConfig.h"
#include "damasklink/coordination/ServingStateMachine.h"
#include "damasklink/coordination/StoreContentTracker.h"
#include "damasklink/coordination/Target.h"
#include "damasklink/coordination/WeightRollout.h"
#include "damasklink/protocol/ErrorBody.h"
#include "damasklink/protocol/HttpMessage.h"
#include "damasklink/state/Units.h"

namespace damasklink {

using PartId = StringId<struct PartIdTag>;
// The scope of cached parts: a target reuses a part only for calls with the scope in which the part
// was made.
using CacheScope = StringId<struct CacheScopeTag>;

// A part of a prompt, which several calls may have in common.
struct PromptPart
{
  PartId id;
  TokenCount tokens;

  bool operator==(const PromptPart&) const = default;
};

// A request of a caller.
struct CallerRequest
{
  RequestId request;
  std::string host;
  std::string key;
  // How long the caller waits for the answer; empty if it states no limit.
  std::optional<Duration> timeout;
  // The last event that the caller received, if it resumes a stream.
  std::optional<std::uint64_t> lastEvent;
  // The request that brought the first event of the stream; empty if the caller does not state it.
  RequestId resumes;
  ModelName model;
  TokenCount promptTokens;
  TokenCount maxAnswerTokens;
  // In the order of the prompt. The last part is used by this call or its session only.
  std::vector<PromptPart> parts;
};

// Transfer of one part of a prompt between a target and a store or another target.
struct PartTransfer
{
  // The store or target; empty if this part is not transferred.
  std::optional<Endpoint> peer;
};

// What the program adds to a caller's request when it sends it to a target.
struct TargetCall
{
  TargetId target;
  // Empty on open routes.
  WorkspaceId workspace;
  Duration timeLeft{ 0 };
  // 0 is the most urgent.
  int priority = 0;
  std::optional<std::uint64_t> lastEvent;
  CacheScope scope;
  // The weight version that the target is expected to serve.
  std::optional<std::uint64_t> weights;
  // Either empty or with one entry for each part.
  std::vector<PartTransfer> fetches;
  std::vector<PartTransfer> saves;
};

// The content of the head of a target's response.
struct TargetResponseInfo
{
  // The target guarantees that it did not run the call and never will.
  bool notRun = false;
  // The address belongs to another target.
  bool wrongTarget = false;
  // The target that responded; empty if the response does not name it.
  TargetId target;
  // Empty if the response names no request.
  RequestId request;
  // The rate of requests that the target accepts from all hosts in total, if it states one.
  std::optional<RequestRate> limit;
  // The rejections for want of room per second beyond which the target fails, if it states that it
  // is brittle.
  std::optional<RequestRate> brittle;
  // The target had no room for the call.
  bool full = false;
  // How much longer the target stays cold; zero if it does not state it.
  Duration coldFor{ 0 };
  // How long the target wants no requests from this host; zero if it does not ask for that.
  Duration restFor{ 0 };
  // The target is leaving and wants no new requests.
  bool leaving = false;
  // Set if a field could not be read. That field then counts as not stated.
  std::optional<Error> unreadable;
};

// Reads callers' requests and the responses of targets, and writes what is sent to either of them.
class CallDialect
{
public:
  virtual ~CallDialect() = default;

  // Fails with InvalidArgument, naming the invalid field.
  virtual Result<CallerRequest> ReadCall(const HttpRequestHead& aHead) const = 0;

  // Returns the head of the request to the target: the caller's fields, except those that callers
  // must not set, and those of aCall.
  virtual HttpRequestHead MakeTargetRequestHead(const HttpRequestHead& aFromCaller,
                                                const TargetCall& aCall) const = 0;

  // Reads a target's response. A field that cannot be read is reported in `unreadable`.
  virtual TargetResponseInfo ReadResponse(const HttpResponseHead& aHead) const = 0;

  // Returns the response for a call that the program refuses or that failed.
  virtual HttpResponseMessage FailureResponse(const CallerError& aError,
                                              const RequestId& aRequest) const = 0;

  // Returns whether the request asks if this host is ready, so that it is not a call for a target.
  virtual bool IsReadinessProbe(const HttpRequestHead& aHead) const = 0;
};

// A target's heartbeat, with its current record.
struct TargetHeartbeat
{
  TargetRecord record;
};

// A target announces that it leaves.
struct TargetDeparture
{
  TargetId target;
  // The incarnation that leaves; zero if the message does not name it.
  Incarnation incarnation;
};

// Replaces the configuration document.
struct ConfigChange
{
  std::string document;
};

// Requests the configuration document.
struct ConfigQuery
{};

// Starts the rollout of a weight version of a model.
struct WeightVersionChange
{
  ModelName model;
  std::uint64_t version = 0;
};

// Stops or resumes sending work to the targets of an availability zone.
struct EvacuationChange
{
  ZoneId zone;
  bool evacuated = false;
};

// Requests the list of evacuated availability zones.
struct EvacuationQuery
{};

// Requests the list of requests that are refused because they crash targets.
struct RefusedRequestsQuery
{};

// Allows a refused request to be sent to targets again.
struct RequestRelease
{
  RequestFingerprint request;
};

using ControlCall = std::variant<TargetHeartbeat,
                                 TargetDeparture,
                                 ConfigChange,
                                 ConfigQuery,
                                 WeightVersionChange,
                                 RefusedRequestsQuery,
                                 RequestRelease,
                                 EvacuationChange,
                                 EvacuationQuery>;

// Reads requests of targets and operators to control hosts, and writes the responses.
class ControlDialect
{
public:
  virtual ~ControlDialect() = default;

  // Fails with NotFound for an unknown path or method, and with InvalidArgument if the request
  // cannot be parsed.
  virtual Result<ControlCall> ReadControlCall(const HttpRequestMessage& aRequest) const = 0;

  // Parses a configuration document, without the checks of CheckServingConfig(). Fails with
  // InvalidArgument, naming the invalid field.
  virtual Result<ServingConfig> ReadConfig(std::string_view aDocument) const = 0;

  // Returns the response to an accepted call.
  virtual HttpResponseMessage Acknowledgement() const = 0;
  // Returns the response to a ConfigQuery.
  virtual HttpResponseMessage DocumentResponse(std::string_view aDocument) const = 0;
  // Returns the response to a RefusedRequestsQuery.
  virtual HttpResponseMessage RefusedRequestsResponse(const RefusedRequests& aRefused) const = 0;
  // Returns the response to an EvacuationQuery.
  virtual HttpResponseMessage EvacuationResponse(const EvacuationRegistry& aEvacuations) const = 0;
  // Returns the response to a call that failed or could not be read.
  virtual HttpResponseMessage ControlErrorResponse(const Error& aError) const = 0;
};

// An order to an engine to load weights, with the control host that sends it.
struct WeightsOrder
{
  OrderWeights order;
  HostId holder;
  FencingNumber fencing;
};

// Writes the requests of control hosts to engines, and reads the responses.
class EngineDialect
{
public:
  virtual ~EngineDialect() = default;

  // Asks an engine for its report.
  virtual HttpRequestMessage ReportRequest(const ReadEngine& aEngine) const = 0;
  virtual Result<EngineReport> ReadReport(std::string_view aBody) const = 0;
  // Returns how long the engine that responded wants no requests from this host; zero if it does
  // not ask for that. Fails with InvalidArgument if the field cannot be read.
  virtual Result<Duration> ReadRest(const HttpResponseHead& aHead) const = 0;
  // Orders an engine to load weights. Runs in progress continue with the new weights. Until the
  // order is complete, the engine refuses requests that have not started.
  virtual HttpRequestMessage OrderRequest(const WeightsOrder& aOrder) const = 0;
};

// Writes the requests of control hosts to the stores of prompt parts, and reads the responses.
class StoreDialect
{
public:
  virtual ~StoreDialect() = default;

  // Requests the changes after aSince. The store responds as soon as there are any, or after aWait
  // (long polling).
  virtual HttpRequestHead EventsRequest(const Endpoint& aStore,
                                        Sequence aSince,
                                        Duration aWait) const = 0;
  virtual Result<StoreEvents> ReadEvents(std::string_view aBody) const = 0;

  // Requests the full content of the store.
  virtual HttpRequestHead ListRequest(const Endpoint& aStore) const = 0;
  virtual Result<StoreList> ReadList(std::string_view aBody) const = 0;

  // Orders the store to free the parts at once, if it is still in this epoch.
  virtual HttpRequestMessage FreeRequest(const Endpoint& aStore,
                                         StoreEpoch aEpoch,
                                         const std::vector<PartName>& aParts) const = 0;
};

} // namespace damasklink
