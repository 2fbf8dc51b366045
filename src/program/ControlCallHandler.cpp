#include "ControlCallHandler.h"

#include <set>
#include <utility>

#include "damasklink/state/Text.h"
#include "damasklink/state/Units.h"
#include "damasklink/transport/Log.h"
#include "damasklink/transport/ResultLog.h"

namespace damasklink {
namespace {

// Limits of a call to a control host. The body limit leaves room for configurations, which grow to
// some megabytes.
CallerLimits
ControlLimits()
{
  CallerLimits limits;
  limits.bodyBytes = 16 * kMebibyte;
  limits.idleTimeout = std::chrono::seconds(30);
  limits.headerTimeout = std::chrono::seconds(5);
  return limits;
}

std::set<RegionId>
RegionsOf(const ZoneRegions& aZones)
{
  std::set<RegionId> regions;
  for (const auto& [zone, region] : aZones) {
    regions.insert(region);
  }
  return regions;
}

} // namespace

ControlCallHandler::ControlCallHandler(const Clock& aClock,
                                       const ServingSettings& aSettings,
                                       const ControlDialect& aDialect,
                                       ServingGroup& aGroup,
                                       TargetTracker& aTracker,
                                       Metrics& aMetrics,
                                       WorkStatistics& aAccount,
                                       MemoryBudget& aMemory,
                                       asio::io_context& aLoop,
                                       std::function<void()> aPublish)
  : clock(aClock)
  , settings(aSettings)
  , dialect(aDialect)
  , group(aGroup)
  , tracker(aTracker)
  , metrics(aMetrics)
  , account(aAccount)
  , memory(aMemory)
  , publishTargets(std::move(aPublish))
  , departures(aLoop,
               aGroup.State().Departed(),
               [&aGroup](const RecordDepartures& aDepartures) -> Awaitable<Result<void>> {
                 const ServingCommand command = aDepartures;
                 const auto result = co_await aGroup.Commit(command);
                 if (!result) {
                   co_return Fail(result.error());
                 }
                 co_return Success();
               })
{
}

Awaitable<void>
ControlCallHandler::Serve(std::shared_ptr<CallerConnection> aChannel)
{
  bool keepAlive = true;
  while (keepAlive) {
    auto request = co_await aChannel->Read(ControlLimits(), this->memory);
    if (!request) {
      if (request.error().kind != ErrorKind::Interrupted) {
        co_await aChannel->WriteWhole(this->dialect.ControlErrorResponse(request.error()), true);
      }
      break;
    }
    HttpResponseMessage answer = co_await this->Answer(request.value());
    const HttpRequestHead& head = request.value().head;
    const bool close = ClosesConnection(head.fields, head.version);
    keepAlive = co_await aChannel->WriteWhole(std::move(answer), close) && !close;
  }
  co_await this->lingering.End(*aChannel);
}

Awaitable<HttpResponseMessage>
ControlCallHandler::Answer(const HttpRequestMessage& aRequest)
{
  auto call = this->Read(aRequest);
  if (!call) {
    LogEvent(LogLevel::Warning, "call_refused")
      .With("target", aRequest.head.target)
      .With("error", call.error());
    co_return this->dialect.ControlErrorResponse(call.error());
  }
  if (const auto* heartbeat = std::get_if<TargetHeartbeat>(&call.value())) {
    co_return co_await this->HandleHeartbeat(*heartbeat);
  }
  if (const auto* departure = std::get_if<TargetDeparture>(&call.value())) {
    co_return co_await this->HandleDeparture(*departure);
  }
  if (const auto* change = std::get_if<ConfigChange>(&call.value())) {
    co_return co_await this->HandleChange(*change);
  }
  if (const auto* named = std::get_if<WeightVersionChange>(&call.value())) {
    co_return co_await this->HandleWeights(*named);
  }
  if (const auto* release = std::get_if<RequestRelease>(&call.value())) {
    co_return co_await this->HandleRelease(*release);
  }
  if (const auto* change = std::get_if<EvacuationChange>(&call.value())) {
    co_return co_await this->HandleEvacuation(*change);
  }
  if (std::holds_alternative<EvacuationQuery>(call.value())) {
    co_return this->dialect.EvacuationResponse(this->group.State().Evacuated());
  }
  if (std::holds_alternative<RefusedRequestsQuery>(call.value())) {
    co_return this->dialect.RefusedRequestsResponse(this->group.State().Refused());
  }
  co_return co_await this->HandleConfigQuery();
}

Result<ControlCall>
ControlCallHandler::Read(const HttpRequestMessage& aRequest)
{
  const WorkTimer timer(this->account, Work::Heartbeats);
  this->account.CountReceived(Work::Heartbeats, aRequest.body.size());
  return this->dialect.ReadControlCall(aRequest);
}

Awaitable<HttpResponseMessage>
ControlCallHandler::HandleHeartbeat(const TargetHeartbeat& aHeartbeat)
{
  const TargetRecord& record = aHeartbeat.record;
  bool accepted = false;
  {
    const WorkTimer timer(this->account, Work::Heartbeats);
    accepted = this->tracker.OnHeartbeat(record);
  }
  if (!accepted) {
    LogEvent(LogLevel::Warning, "target_refused")
      .With("target", record.id)
      .With("service", record.service);
    co_return this->dialect.ControlErrorResponse(
      Error{ ErrorKind::InvalidArgument,
             "the configuration has no such service",
             "put a configuration with the service first" });
  }
  if (!record.leaving) {
    co_return this->MakeTargetAnswer();
  }
  // Published at once: entry hosts must learn in time of a departure that was acknowledged.
  this->publishTargets();
  const TargetDeparture departure{ record.id, record.incarnation };
  co_return co_await this->AcknowledgeDeparture(departure);
}

Awaitable<HttpResponseMessage>
ControlCallHandler::HandleDeparture(const TargetDeparture& aDeparture)
{
  this->tracker.OnDeparture(aDeparture.target, aDeparture.incarnation);
  this->publishTargets();
  TargetDeparture departure = aDeparture;
  const TargetRecord* known = this->tracker.Registry().Find(departure.target);
  if (departure.incarnation == Incarnation() && known != nullptr) {
    departure.incarnation = known->incarnation;
  }
  co_return co_await this->AcknowledgeDeparture(departure);
}

// A departure is acknowledged once it is in the replicated log. Otherwise a heartbeat that is late
// would bring the target back after all control hosts were restarted.
Awaitable<HttpResponseMessage>
ControlCallHandler::AcknowledgeDeparture(const TargetDeparture& aDeparture)
{
  if (!this->group.HasRecentLeader()) {
    co_return this->MakeTargetAnswer();
  }
  const DepartedTarget departed{ aDeparture.target, aDeparture.incarnation };
  const auto recorded = co_await this->departures.Record(departed);
  co_return recorded ? this->dialect.Acknowledgement()
                     : this->dialect.ControlErrorResponse(recorded.error());
}

// A host without a recent leader is isolated: what targets report to it may reach no other host. It
// records the report for the entry hosts on its side, and answers with an error so that the target
// reports to another control host, too.
HttpResponseMessage
ControlCallHandler::MakeTargetAnswer() const
{
  if (this->group.HasRecentLeader()) {
    return this->dialect.Acknowledgement();
  }
  return this->dialect.ControlErrorResponse(
    Error{ ErrorKind::Unavailable, "this host has no leader", "report to another control host" });
}

HttpResponseMessage
ControlCallHandler::MakeCommitAnswer(const Result<ServingCommandResult>& aResult) const
{
  return aResult ? this->dialect.Acknowledgement()
                 : this->dialect.ControlErrorResponse(aResult.error());
}

Awaitable<HttpResponseMessage>
ControlCallHandler::HandleChange(const ConfigChange& aChange)
{
  auto config = this->dialect.ReadConfig(aChange.document);
  auto checked = config ? CheckServingConfig(config.value()) : Result<void>(Fail(config.error()));
  if (checked && !this->settings.regions.empty()) {
    checked = CheckRegions(config.value(), RegionsOf(this->settings.regions));
  }
  if (!checked) {
    LogEvent(LogLevel::Info, "configuration_refused").With("error", checked.error());
    co_return this->dialect.ControlErrorResponse(checked.error());
  }
  const Revision version = config.value().version;
  const Revision before = this->group.State().Version();
  const ServingCommand command = PutDocument{ version, aChange.document };
  auto result = co_await this->group.Commit(command);
  LogEvent event(LogLevel::Info,
                 result ? "configuration_acknowledged" : "configuration_not_committed");
  event.With("version", version)
    .With("before", before)
    .With("in_force", result ? result.value().version : Revision());
  AddError(event, result);
  if (result) {
    this->metrics.Add(Counter::ConfigChanges, MetricKey{}, 1);
  }
  co_return this->MakeCommitAnswer(result);
}

Awaitable<HttpResponseMessage>
ControlCallHandler::HandleWeights(const WeightVersionChange& aNamed)
{
  const ServingCommand command = SetWeightVersion{ aNamed.model, aNamed.version };
  auto result = co_await this->group.Commit(command);
  LogEvent event(LogLevel::Info, result ? "weights_acknowledged" : "weights_not_committed");
  event.With("model", aNamed.model).With("version", aNamed.version);
  AddError(event, result);
  co_return this->MakeCommitAnswer(result);
}

Awaitable<HttpResponseMessage>
ControlCallHandler::HandleRelease(const RequestRelease& aRelease)
{
  const ServingCommand command = ReleaseRequest{ aRelease.request };
  auto result = co_await this->group.Commit(command);
  LogEvent event(LogLevel::Info, result ? "release_acknowledged" : "release_not_committed");
  event.With("fingerprint", aRelease.request);
  AddError(event, result);
  co_return this->MakeCommitAnswer(result);
}

Awaitable<HttpResponseMessage>
ControlCallHandler::HandleEvacuation(const EvacuationChange& aChange)
{
  if (!this->settings.regions.empty() && !this->settings.regions.contains(aChange.zone)) {
    co_return this->dialect.ControlErrorResponse(
      Error{ ErrorKind::NotFound,
             Concat("there is no availability zone '", aChange.zone.Value(), "'"),
             "name a zone of this deployment" });
  }
  const std::uint64_t seen = this->group.State().Evacuated().ChangesOf(aChange.zone);
  const ServingCommand command =
    SetEvacuation{ aChange.zone, aChange.evacuated, seen, this->clock.WallNow() };
  const auto result = co_await this->group.Commit(command);
  const bool acknowledged = result && !result.value().superseded;
  LogEvent event(LogLevel::Info,
                 acknowledged ? "evacuation_acknowledged" : "evacuation_not_committed");
  event.With("zone", aChange.zone)
    .With("evacuated", aChange.evacuated)
    .With("seen_changes", seen)
    .With("superseded", result && result.value().superseded);
  AddError(event, result);
  if (result && result.value().superseded) {
    co_return this->dialect.ControlErrorResponse(
      Error{ ErrorKind::Unavailable,
             "another order for the zone was committed first, which this host had not seen",
             "send the order again if it is still wanted" });
  }
  co_return this->MakeCommitAnswer(result);
}

// A leader within its lease has the newest configuration. Any other host commits a read barrier,
// and answers only if it has applied the version that the barrier returns.
Awaitable<HttpResponseMessage>
ControlCallHandler::HandleConfigQuery()
{
  const ServingStateMachine& state = this->group.State();
  if (!this->group.HoldsLease()) {
    const ServingCommand command = ReadBarrier{};
    auto result = co_await this->group.Commit(command);
    if (!result) {
      co_return this->dialect.ControlErrorResponse(result.error());
    }
    if (result.value().version > state.Version()) {
      co_return this->dialect.ControlErrorResponse(
        Error{ ErrorKind::Unavailable, "this host is behind the group", "ask another host" });
    }
  }
  if (state.Version() == Revision()) {
    co_return this->dialect.ControlErrorResponse(
      Error{ ErrorKind::Unavailable, "there is no configuration yet", "put one first" });
  }
  co_return this->dialect.DocumentResponse(state.Document());
}

} // namespace damasklink
