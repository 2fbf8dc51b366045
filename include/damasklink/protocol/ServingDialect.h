// How a platform speaks: what its messages say, in the terms of this program.
//
// The program decides on the types below; an adapter reads them from and writes them to the names,
// headers and bodies of one platform. Nothing else knows those names. To run on another platform,
// implement these interfaces.
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
// What keeps cached parts apart: targets find parts only under the scope they were made under.
using CacheScope = StringId<struct CacheScopeTag>;

// A part of a prompt that calls may share.
struct PromptPart
{
  PartId id;
  TokenCount tokens;

  bool operator==(const PromptPart&) const = default;
};

// What a caller asks for.
struct CallerRequest
{
  RequestId request;
  std::string host;
  std::string key;
  // How long the caller waits; nothing when it does not say.
  std::optional<Duration> patience;
  // The last event that the caller has, where it resumes a stream.
  std::optional<std::uint64_t> lastEvent;
  ModelName model;
  TokenCount promptTokens;
  TokenCount maxAnswerTokens;
  // In the order of the prompt; the last one belongs to this call or its session alone.
  std::vector<PromptPart> parts;
};

// A move of one part of a prompt between a target and a store or another target.
struct PartTransfer
{
  // Nothing: this part is not moved.
  std::optional<Endpoint> peer;
};

// What is said to a target beside what the caller said.
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
  // The version of weights that the target is believed to have.
  std::optional<std::uint64_t> weights;
  // One entry a part, or none at all.
  std::vector<PartTransfer> fetches;
  std::vector<PartTransfer> saves;
};

// What the head of a target's answer says.
struct TargetResponseInfo
{
  // The target promises that it did not run the call and never will.
  bool notRun = false;
  // Another target has the address.
  bool wrongTarget = false;
  // Who answered, where it says so.
  TargetId target;
  // Empty when the answer names no request.
  RequestId request;
  // Requests that the target takes from all hosts together, where it names a limit.
  std::optional<RequestRate> limit;
  // How much longer the target is cold; zero where it does not say.
  Duration coldFor{ 0 };
  // What the target said and could not be read; counts as not said.
  std::optional<Error> unreadable;
};

// Calls of callers, and what becomes of them at targets.
class CallDialect
{
public:
  virtual ~CallDialect() = default;

  // Fails with InvalidArgument, naming the field.
  virtual Result<CallerRequest> ReadCall(const HttpRequestHead& aHead) const = 0;

  // Returns what the target is sent: what the caller said, without what is not the caller's to say.
  virtual HttpRequestHead MakeTargetRequestHead(const HttpRequestHead& aFromCaller,
                                                const TargetCall& aCall) const = 0;

  virtual TargetResponseInfo ReadResponse(const HttpResponseHead& aHead) const = 0;

  // Returns the answer of this program for a call that it refuses or that failed.
  virtual HttpResponseMessage FailureResponse(const CallerError& aError,
                                              const RequestId& aRequest) const = 0;

  virtual bool IsReadinessProbe(const HttpRequestHead& aHead) const = 0;
};

// A target says that it lives, and what it is.
struct TargetHeartbeat
{
  TargetRecord record;
};

// A target signs off.
struct TargetDeparture
{
  TargetId target;
  // Which start of it signs off; zero where it does not say.
  Incarnation incarnation;
};

struct ConfigChange
{
  std::string document;
};

struct ConfigQuery
{};

// New weights of a model are to be rolled out.
struct WeightVersionChange
{
  ModelName model;
  std::uint64_t version = 0;
};

// Targets of the availability zone are to get no work any more, or again.
struct EvacuationChange
{
  ZoneId zone;
  bool evacuated = false;
};

// Asks which availability zones are evacuated.
struct EvacuationQuery
{};

// Asks which requests are refused because they crash targets.
struct RefusedRequestsQuery
{};

// A refused request may be sent to targets again.
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

// Calls of targets and operators at control hosts.
class ControlDialect
{
public:
  virtual ~ControlDialect() = default;

  // Fails with NotFound for a call that is not known and with InvalidArgument for one that cannot
  // be read.
  virtual Result<ControlCall> ReadControlCall(const HttpRequestMessage& aRequest) const = 0;

  // Fails with InvalidArgument, naming the field. Does not check what CheckServingConfig() does.
  virtual Result<ServingConfig> ReadConfig(std::string_view aDocument) const = 0;

  // An accepted call, and a question answered with a document.
  virtual HttpResponseMessage Acknowledgement() const = 0;
  virtual HttpResponseMessage DocumentResponse(std::string_view aDocument) const = 0;
  virtual HttpResponseMessage RefusedRequestsResponse(const RefusedRequests& aRefused) const = 0;
  virtual HttpResponseMessage EvacuationResponse(const EvacuationRegistry& aEvacuations) const = 0;
  virtual HttpResponseMessage ControlErrorResponse(const Error& aError) const = 0;
};

// An order to an engine, and who gives it.
struct WeightsOrder
{
  OrderWeights order;
  HostId holder;
  FencingNumber fencing;
};

// Questions and orders of control hosts to engines.
class EngineDialect
{
public:
  virtual ~EngineDialect() = default;

  virtual HttpRequestMessage ReportRequest(const ReadEngine& aEngine) const = 0;
  virtual Result<EngineReport> ReadReport(std::string_view aBody) const = 0;
  // The engine's runs go on under the new weights; what has not started is refused until the order
  // is complete.
  virtual HttpRequestMessage OrderRequest(const WeightsOrder& aOrder) const = 0;
};

// Questions of control hosts to the stores of prompt parts.
class StoreDialect
{
public:
  virtual ~StoreDialect() = default;

  // Asks what has changed since; the store answers at once when something has, or after the wait.
  virtual HttpRequestHead EventsRequest(const Endpoint& aStore,
                                        Sequence aSince,
                                        Duration aWait) const = 0;
  virtual Result<StoreEvents> ReadEvents(std::string_view aBody) const = 0;

  // Asks for all that is held.
  virtual HttpRequestHead ListRequest(const Endpoint& aStore) const = 0;
  virtual Result<StoreList> ReadList(std::string_view aBody) const = 0;

  // Orders the store, should it be in that epoch still, to drop the parts at once.
  virtual HttpRequestMessage FreeRequest(const Endpoint& aStore,
                                         StoreEpoch aEpoch,
                                         const std::vector<PartName>& aParts) const = 0;
};

} // namespace damasklink
