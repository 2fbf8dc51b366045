#include "ServiceProber.h"

#include <algorithm>
#include <utility>

#include "damasklink/transport/Log.h"

namespace damasklink {
namespace {

constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);

// Something that accepts connections in place of the target, and drops them, does so at once.
constexpr Duration kDropTimeout = std::chrono::milliseconds(30);

// Time in which a target must answer a health check, where a connection alone is not enough.
constexpr Duration kAnswerTimeout = std::chrono::milliseconds(500);

// Number of targets that are tried in one probe. When a fifth of the targets has failed, three
// random ones seldom have.
constexpr std::size_t kTargetsPerProbe = 3;

} // namespace

void
ServiceProber::Probe(const ServiceName& aService)
{
  std::vector<TargetRecord> targets = this->state.Targets().Usable(aService);
  if (targets.empty() || !this->paths.BeginProbe(aService)) {
    return;
  }
  std::shuffle(targets.begin(), targets.end(), this->random);
  targets.resize(std::min(targets.size(), kTargetsPerProbe));
  auto round = std::make_shared<Round>();
  round->service = aService;
  round->healthPath = this->RequiredHealthPath(aService);
  round->pending = targets.size();
  for (TargetRecord& target : targets) {
    asio::co_spawn(this->loop, this->RunProbe(round, std::move(target)), asio::detached);
  }
}

// A connection that is accepted while no target answers anything shows nothing: something on the
// way may accept it.
std::string
ServiceProber::RequiredHealthPath(const ServiceName& aService) const
{
  const RoutesPtr& routes = this->state.Routes();
  const ServingService* service =
    routes == nullptr ? nullptr : routes->Config().FindService(aService);
  const bool hadBytes =
    this->paths.HadBytesWithin(aService, ServiceReachability::kSuspiciousSilence);
  return service != nullptr && !hadBytes ? service->healthPath : "";
}

void
ServiceProber::ProbeUnreachable()
{
  for (const ServiceName& service : this->paths.DueForProbe()) {
    this->Probe(service);
  }
}

Awaitable<void>
ServiceProber::RunProbe(std::shared_ptr<Round> aRound, TargetRecord aTarget)
{
  const bool reached = co_await this->IsReached(std::move(aTarget), aRound->healthPath);
  --aRound->pending;
  if (!aRound->over && (reached || aRound->pending == 0)) {
    this->EndRound(*aRound, reached);
  }
}

Awaitable<bool>
ServiceProber::IsReached(TargetRecord aTarget, std::string aHealthPath)
{
  TargetConnection connection(this->loop.get_executor(), this->clock);
  const auto connected = co_await connection.Connect(aTarget.endpoint, kConnectTimeout);
  if (!connected) {
    co_return false;
  }
  if (aHealthPath.empty()) {
    co_return co_await connection.StaysOpen(kDropTimeout);
  }
  Watchdog watchdog(this->loop.get_executor(), [&connection] { connection.Close(); });
  watchdog.Arm(kAnswerTimeout);
  HttpRequestHead check;
  check.method = "GET";
  check.target = std::move(aHealthPath);
  check.fields.Add("Host", FormatEndpoint(aTarget.endpoint));
  TargetCall call;
  call.target = aTarget.id;
  call.timeLeft = kAnswerTimeout;
  const HttpRequestHead head = this->dialect.MakeTargetRequestHead(check, call);
  co_await connection.Send(head, "");
  const auto answer = co_await connection.ReadHead();
  co_return answer.has_value();
}

void
ServiceProber::EndRound(Round& aRound, bool aReached)
{
  aRound.over = true;
  const ReachabilityChange change = this->paths.EndProbe(aRound.service, aReached);
  if (change != ReachabilityChange::None) {
    this->handlers.onChange(aRound.service, change);
  }
}

void
ServiceProber::CheckTarget(const TargetRecord& aTarget)
{
  if (this->checking.insert(aTarget.id).second) {
    asio::co_spawn(this->loop, this->RunCheck(aTarget), asio::detached);
  }
}

Awaitable<void>
ServiceProber::RunCheck(TargetRecord aTarget)
{
  TargetConnection connection(this->loop.get_executor(), this->clock);
  const auto connected = co_await connection.Connect(aTarget.endpoint, kConnectTimeout);
  this->checking.erase(aTarget.id);
  if (!connected) {
    LogEvent(LogLevel::Info, "silent_target_unreachable")
      .With("target", aTarget.id)
      .With("service", aTarget.service)
      .With("error", connected.error());
    this->handlers.onTargetUnreachable(aTarget.id);
  }
}

} // namespace damasklink
