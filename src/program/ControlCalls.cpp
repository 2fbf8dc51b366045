#include "ControlCalls.h"

#include <set>
#include <utility>

#include "damasklink/state/Text.h"
#include "damasklink/state/Units.h"
#include "damasklink/transport/Log.h"

namespace damasklink {
namespace {

// What a call to a control host may be like: configurations grow to some megabytes.
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

ControlCalls::ControlCalls(const Clock& aClock,
                           const ServingSettings& aSettings,
                           const ControlDialect& aDialect,
                           ServingGroup& aGroup,
                           ControlPicture& aPicture,
                           Metrics& aMetrics,
                           WorkStatistics& aAccount,
                           std::function<void()> aSpread)
  : clock(aClock)
  , settings(aSettings)
  , dialect(aDialect)
  , group(aGroup)
  , picture(aPicture)
  , metrics(aMetrics)
  , account(aAccount)
  , spread(std::move(aSpread))
{
}

Awaitable<void>
ControlCalls::Serve(std::shared_ptr<CallerChannel> aChannel)
{
  bool kept = true;
  while (kept) {
    auto request = co_await aChannel->Read(ControlLimits());
    if (!request) {
      if (request.error().kind != ErrorKind::Interrupted) {
        co_await aChannel->WriteWhole(this->dialect.ControlFailure(request.error()), true);
      }
      break;
    }
    HttpAnswerMessage answer = co_await this->Answer(request.value());
    const HttpRequestHead& head = request.value().head;
    const bool close = AsksToClose(head.fields, head.version);
    kept = co_await aChannel->WriteWhole(std::move(answer), close) && !close;
  }
  aChannel->Close();
}

Awaitable<HttpAnswerMessage>
ControlCalls::Answer(const HttpRequestMessage& aRequest)
{
  auto call = this->Read(aRequest);
  if (!call) {
    LogEvent(LogLevel::Warning, "call_refused")
      .With("target", aRequest.head.target)
      .With("error", call.error());
    co_return this->dialect.ControlFailure(call.error());
  }
  if (const auto* heartbeat = std::get_if<TargetHeartbeat>(&call.value())) {
    co_return this->TakeHeartbeat(*heartbeat);
  }
  if (const auto* departure = std::get_if<TargetDeparture>(&call.value())) {
    co_return this->TakeDeparture(*departure);
  }
  if (const auto* change = std::get_if<ConfigChange>(&call.value())) {
    co_return co_await this->TakeChange(*change);
  }
  if (const auto* named = std::get_if<WeightsNamed>(&call.value())) {
    co_return co_await this->TakeWeights(*named);
  }
  if (const auto* release = std::get_if<RequestRelease>(&call.value())) {
    co_return co_await this->TakeRelease(*release);
  }
  if (const auto* change = std::get_if<EvacuationChange>(&call.value())) {
    co_return co_await this->TakeEvacuation(*change);
  }
  if (std::holds_alternative<EvacuationQuestion>(call.value())) {
    co_return this->dialect.EvacuationAnswer(this->group.State().Evacuated());
  }
  if (std::holds_alternative<RefusedQuestion>(call.value())) {
    co_return this->dialect.RefusedAnswer(this->group.State().Refused());
  }
  co_return co_await this->AnswerQuestion();
}

Result<ControlCall>
ControlCalls::Read(const HttpRequestMessage& aRequest)
{
  const WorkTimer timer(this->account, Work::Heartbeats);
  this->account.CountReceived(Work::Heartbeats, aRequest.body.size());
  return this->dialect.ReadControlCall(aRequest);
}

HttpAnswerMessage
ControlCalls::TakeHeartbeat(const TargetHeartbeat& aHeartbeat)
{
  const WorkTimer timer(this->account, Work::Heartbeats);
  if (!this->picture.Hear(aHeartbeat.record)) {
    LogEvent(LogLevel::Warning, "target_refused")
      .With("target", aHeartbeat.record.id)
      .With("service", aHeartbeat.record.service);
    return this->dialect.ControlFailure(Error{ ErrorKind::InvalidArgument,
                                               "the configuration names no such service",
                                               "put a configuration that names it first" });
  }
  if (aHeartbeat.record.leaving) {
    // What is acknowledged as leaving must reach entry hosts in time, so it does not wait.
    this->spread();
  }
  return this->AnswerTarget();
}

HttpAnswerMessage
ControlCalls::TakeDeparture(const TargetDeparture& aDeparture)
{
  this->picture.Depart(aDeparture.target, aDeparture.incarnation);
  this->spread();
  return this->AnswerTarget();
}

// A host that hears no leader is cut off: what targets tell it may reach nobody else. It takes note
// for the entry hosts on its side, and sends the target on to the other control hosts.
HttpAnswerMessage
ControlCalls::AnswerTarget() const
{
  if (this->group.HearsLeader()) {
    return this->dialect.Acknowledgement();
  }
  return this->dialect.ControlFailure(
    Error{ ErrorKind::Unavailable, "this host hears no leader", "tell another control host" });
}

HttpAnswerMessage
ControlCalls::AnswerCommit(const Result<ServingCommandResult>& aStanding) const
{
  return aStanding ? this->dialect.Acknowledgement()
                   : this->dialect.ControlFailure(aStanding.error());
}

Awaitable<HttpAnswerMessage>
ControlCalls::TakeChange(const ConfigChange& aChange)
{
  auto config = this->dialect.ReadConfig(aChange.document);
  auto checked = config ? CheckServingConfig(config.value()) : Result<void>(Fail(config.error()));
  if (checked && !this->settings.regions.empty()) {
    checked = CheckRegions(config.value(), RegionsOf(this->settings.regions));
  }
  if (!checked) {
    LogEvent(LogLevel::Info, "configuration_refused").With("error", checked.error());
    co_return this->dialect.ControlFailure(checked.error());
  }
  const Revision version = config.value().version;
  const Revision before = this->group.State().Version();
  const ServingCommand command = PutDocument{ version, aChange.document };
  auto standing = co_await this->group.Commit(command);
  LogEvent(LogLevel::Info, standing ? "configuration_acknowledged" : "configuration_not_committed")
    .With("version", version)
    .With("before", before)
    .With("in_force", standing ? standing.value().version : Revision())
    .With("error", standing ? Error{} : standing.error());
  if (standing) {
    this->metrics.Add(Counter::ConfigChanges, MetricKey{}, 1);
  }
  co_return this->AnswerCommit(standing);
}

Awaitable<HttpAnswerMessage>
ControlCalls::TakeWeights(const WeightsNamed& aNamed)
{
  const ServingCommand command = SetWeightVersion{ aNamed.model, aNamed.version };
  auto standing = co_await this->group.Commit(command);
  LogEvent(LogLevel::Info, standing ? "weights_acknowledged" : "weights_not_committed")
    .With("model", aNamed.model)
    .With("version", aNamed.version);
  co_return this->AnswerCommit(standing);
}

Awaitable<HttpAnswerMessage>
ControlCalls::TakeRelease(const RequestRelease& aRelease)
{
  const ServingCommand command = ReleaseRequest{ aRelease.request };
  auto standing = co_await this->group.Commit(command);
  LogEvent(LogLevel::Info, standing ? "release_acknowledged" : "release_not_committed")
    .With("fingerprint", aRelease.request);
  co_return this->AnswerCommit(standing);
}

Awaitable<HttpAnswerMessage>
ControlCalls::TakeEvacuation(const EvacuationChange& aChange)
{
  if (!this->settings.regions.empty() && !this->settings.regions.contains(aChange.zone)) {
    co_return this->dialect.ControlFailure(
      Error{ ErrorKind::NotFound,
             Concat("there is no availability zone '", aChange.zone.Value(), "'"),
             "name a zone of this deployment" });
  }
  const std::uint64_t seen = this->group.State().Evacuated().ChangesOf(aChange.zone);
  const ServingCommand command =
    SetEvacuation{ aChange.zone, aChange.evacuated, seen, this->clock.WallNow() };
  const auto standing = co_await this->group.Commit(command);
  const bool acknowledged = standing && !standing.value().superseded;
  LogEvent(LogLevel::Info, acknowledged ? "evacuation_acknowledged" : "evacuation_not_committed")
    .With("zone", aChange.zone)
    .With("evacuated", aChange.evacuated)
    .With("seen_changes", seen)
    .With("superseded", standing && standing.value().superseded)
    .With("error", standing ? Error{} : standing.error());
  if (standing && standing.value().superseded) {
    co_return this->dialect.ControlFailure(
      Error{ ErrorKind::Unavailable,
             "another order for the zone was committed first, which this host had not seen",
             "send the order again if it is still wanted" });
  }
  co_return this->AnswerCommit(standing);
}

// A leader within its lease knows the newest configuration. Any other host asks the group: what it
// has applied itself must be as new as what the group answers.
Awaitable<HttpAnswerMessage>
ControlCalls::AnswerQuestion()
{
  const ServingStateMachine& state = this->group.State();
  if (!this->group.HoldsLease()) {
    const ServingCommand command = ReadBarrier{};
    auto standing = co_await this->group.Commit(command);
    if (!standing) {
      co_return this->dialect.ControlFailure(standing.error());
    }
    if (standing.value().version > state.Version()) {
      co_return this->dialect.ControlFailure(
        Error{ ErrorKind::Unavailable, "this host is behind the group", "ask another host" });
    }
  }
  if (state.Version() == Revision()) {
    co_return this->dialect.ControlFailure(
      Error{ ErrorKind::Unavailable, "there is no configuration yet", "put one first" });
  }
  co_return this->dialect.DocumentAnswer(state.Document());
}

} // namespace damasklink
