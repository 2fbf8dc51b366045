#include "RolloutExecutor.h"

#include <utility>

#include "damasklink/state/Units.h"
#include "damasklink/transport/Log.h"
#include "damasklink/transport/TargetConnection.h"

namespace damasklink {
namespace {

// Engines answer reports and orders at once. One that does not answer in time is asked again.
constexpr Duration kCallTimeout = std::chrono::milliseconds(800);

constexpr std::size_t kMaxAnswerBytes = std::size_t{ 1 } * 1024 * 1024;

} // namespace

RolloutExecutor::RolloutExecutor(asio::io_context& aLoop,
                                 const Clock& aClock,
                                 const EngineDialect& aDialect,
                                 MemoryBudget& aMemory,
                                 RolloutOptions aOptions,
                                 std::function<OrderAuthority()> aAuthority)
  : loop(aLoop)
  , clock(aClock)
  , dialect(aDialect)
  , memory(aMemory)
  , authority(std::move(aAuthority))
  , rollout(aClock, aOptions)
  , rests(aClock)
{
}

void
RolloutExecutor::Step(const std::map<ModelName, DesiredWeights>& aDesired,
                      const std::vector<TargetRecord>& aEngines)
{
  const bool leaseHeld = this->authority().leaseHeld;
  this->rests.RemoveExpired();
  for (RolloutAction& action : this->rollout.Plan(leaseHeld, aDesired, aEngines)) {
    if (auto* read = std::get_if<ReadEngine>(&action)) {
      asio::co_spawn(this->loop, this->Read(std::move(*read)), asio::detached);
    } else {
      asio::co_spawn(
        this->loop, this->Order(std::move(std::get<OrderWeights>(action))), asio::detached);
    }
  }
}

Awaitable<void>
RolloutExecutor::Read(ReadEngine aEngine)
{
  // The plan reads it again at its next interval.
  if (this->rests.IsResting(aEngine.target, aEngine.incarnation)) {
    this->rollout.OnReport(aEngine.target, std::nullopt);
    co_return;
  }
  auto answer = co_await this->Call(aEngine.endpoint, this->dialect.ReportRequest(aEngine));
  this->ObserveRest(aEngine.target, aEngine.incarnation, answer);
  std::optional<EngineReport> report;
  if (answer && answer.value().head.status == 200) {
    auto read = this->dialect.ReadReport(answer.value().body);
    if (read) {
      report = std::move(read.value());
    } else {
      LogEvent(LogLevel::Warning, "report_unreadable")
        .With("target", aEngine.target)
        .With("error", read.error());
    }
  }
  this->rollout.OnReport(aEngine.target, report);
}

Awaitable<void>
RolloutExecutor::Order(OrderWeights aOrder)
{
  const OrderAuthority now = this->authority();
  if (!now.leaseHeld || this->rests.IsResting(aOrder.target, aOrder.incarnation)) {
    this->rollout.OnOrdered(aOrder.target);
    co_return;
  }
  const WeightsOrder order{ aOrder, now.holder, now.fencing };
  auto answer = co_await this->Call(aOrder.endpoint, this->dialect.OrderRequest(order));
  this->ObserveRest(aOrder.target, aOrder.incarnation, answer);
  LogEvent(LogLevel::Info, "weights_ordered")
    .With("target", aOrder.target)
    .With("model", aOrder.model)
    .With("version", aOrder.version)
    .With("after_orders", aOrder.ordersAccepted)
    .With("fencing", now.fencing)
    .With("status", answer ? answer.value().head.status : 0);
  this->rollout.OnOrdered(aOrder.target);
}

Awaitable<Result<HttpResponseMessage>>
RolloutExecutor::Call(Endpoint aEndpoint, HttpRequestMessage aMessage)
{
  TargetConnection channel(this->loop.get_executor(), this->clock);
  Watchdog watchdog(this->loop.get_executor(), [&channel] { channel.Close(); });
  watchdog.Arm(kCallTimeout);
  auto connected = co_await channel.Connect(aEndpoint, kCallTimeout);
  if (!connected) {
    co_return Fail(connected.error());
  }
  if (auto sent = co_await channel.Send(aMessage.head, aMessage.body); !sent) {
    co_return Fail(sent.error());
  }
  auto head = co_await channel.ReadHead();
  if (!head) {
    co_return Fail(head.error());
  }
  CountedBuffer body(this->memory, MemoryUse::Responses);
  if (const auto read = co_await channel.ReadRest(body, kMaxAnswerBytes); !read) {
    co_return Fail(read.error());
  }
  HttpResponseMessage answer;
  answer.head = std::move(head.value());
  answer.body = body.TakeBytes();
  co_return answer;
}

void
RolloutExecutor::ObserveRest(const TargetId& aTarget,
                             Incarnation aIncarnation,
                             const Result<HttpResponseMessage>& aAnswer)
{
  if (!aAnswer) {
    return;
  }
  const auto rest = this->dialect.ReadRest(aAnswer.value().head);
  if (!rest) {
    LogEvent(LogLevel::Warning, "target_answer_unreadable")
      .With("target", aTarget)
      .With("error", rest.error());
    return;
  }
  if (rest.value() > Duration::zero()) {
    this->rests.OnAsked(aTarget, aIncarnation, rest.value());
    LogEvent(LogLevel::Info, "target_asks_for_rest")
      .With("target", aTarget)
      .With("incarnation", aIncarnation)
      .With("rest_ms", WholeMilliseconds(rest.value()));
  }
}

} // namespace damasklink
