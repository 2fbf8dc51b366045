#include "program/CallForwarder.h"

#include <gtest/gtest.h>

#include "damasklink/state/Clock.h"
#include "damasklink/state/Metrics.h"
#include "support/OwnAddress.h"

namespace damasklink {
namespace {

using testing::FreeEndpoint;
using testing::OwnAddress;

ServingSettings
HostSettings(int aNumber, std::uint16_t aPort)
{
  ServingSettings settings;
  settings.host = HostId(OwnAddress(aNumber));
  settings.forwardingPort = aPort;
  return settings;
}

// Guards against connections between hosts that the side that dialed them closes as idle while the
// other side's calls run on them. Where the second host takes no notice in time of the connection
// of the first one, it dials one of its own.
class IdleLinkTest : public ::testing::TestWithParam<int>
{};

TEST_P(IdleLinkTest, ConnectionIsKeptWhileCallsOfTheOtherSideRun)
{
  MemoryBudget memory(ByteCount(256 * kMebibyte));
  asio::io_context loop{ 1 };
  ManualClock clock;
  NoMetrics metrics;
  const std::uint16_t port = FreeEndpoint(OwnAddress(1)).port;
  const ServingSettings first = HostSettings(1, port);
  const ServingSettings second = HostSettings(2, port);
  std::shared_ptr<ForwardedCaller> served;
  std::string outcome = "none";
  CallForwarder a(loop, clock, first, metrics, memory, 1, [](const auto&, auto&, const auto&) {
    return std::optional(DeclineReason::Unreachable);
  });
  CallForwarder b(
    loop, clock, second, metrics, memory, 2, [&](const auto&, auto&, const auto& aCaller) {
      served = aCaller;
      return std::optional<DeclineReason>();
    });
  ASSERT_TRUE(a.Listen());
  ASSERT_TRUE(b.Listen());
  const auto run = [&]() -> Awaitable<void> {
    asio::steady_timer pause(loop);
    // The second host was cut off and used the first one.
    EXPECT_TRUE(co_await b.Connect(first.host));
    pause.expires_after(std::chrono::milliseconds(GetParam()));
    co_await pause.async_wait(kAsValue);
    clock.Advance(std::chrono::seconds(4));
    // Now the first one is cut off.
    EXPECT_TRUE(co_await a.Connect(second.host));
    auto response = a.Send(second.host, ForwardedCall());
    pause.expires_after(std::chrono::milliseconds(100));
    co_await pause.async_wait(kAsValue);
    EXPECT_NE(served, nullptr);
    clock.Advance(std::chrono::seconds(2));
    a.CloseIdle();
    b.CloseIdle();
    pause.expires_after(std::chrono::milliseconds(100));
    co_await pause.async_wait(kAsValue);
    if (served != nullptr) {
      HttpResponseMessage answer;
      answer.head.status = 200;
      co_await served->WriteWhole(answer, false);
    }
    const auto message = co_await response->Next();
    outcome = message ? "answered" : "lost";
    loop.stop();
  };
  asio::co_spawn(loop, run(), asio::detached);
  loop.run_for(std::chrono::seconds(3));
  EXPECT_EQ(outcome, "answered");
}

INSTANTIATE_TEST_SUITE_P(BeforeAndAfterTheFirstFrame, IdleLinkTest, ::testing::Values(50, 900));

// Two hosts with a loop each, so that one can stand still while the other goes on.
class SilentHostTest : public ::testing::Test
{
protected:
  // A host that stands still does not run its loop. Its kernel still acknowledges what arrives.
  static void Run(asio::io_context& aLoop, std::chrono::milliseconds aTime)
  {
    aLoop.restart();
    aLoop.run_for(aTime);
  }

  void RunBoth(std::chrono::milliseconds aTime)
  {
    const auto until = std::chrono::steady_clock::now() + aTime;
    while (std::chrono::steady_clock::now() < until) {
      Run(this->originLoop, std::chrono::milliseconds(5));
      Run(this->serverLoop, std::chrono::milliseconds(5));
    }
  }

  Awaitable<void> Forward()
  {
    EXPECT_TRUE(co_await this->origin.Connect(this->serverSettings.host));
    auto response = this->origin.Send(this->serverSettings.host, ForwardedCall());
    const auto message = co_await response->Next();
    this->outcome = message ? "answered" : "lost";
  }

  // Forwards a call and returns once the other host runs it.
  void BeginCall()
  {
    ASSERT_TRUE(this->origin.Listen());
    ASSERT_TRUE(this->server.Listen());
    asio::co_spawn(this->originLoop, this->Forward(), asio::detached);
    this->RunBoth(std::chrono::milliseconds(200));
    ASSERT_NE(this->served, nullptr);
    this->served->WatchForDisconnect([this] { this->cancelled = true; });
  }

  void Answer()
  {
    HttpResponseMessage answer;
    answer.head.status = 200;
    asio::co_spawn(this->serverLoop, this->served->WriteWhole(answer, false), asio::detached);
    this->RunBoth(std::chrono::milliseconds(200));
  }

  static constexpr std::chrono::milliseconds kStandstill{ 2500 };

  MemoryBudget memory{ ByteCount(256 * kMebibyte) };
  asio::io_context originLoop{ 1 };
  asio::io_context serverLoop{ 1 };
  ManualClock clock;
  NoMetrics metrics;
  ServingSettings originSettings = HostSettings(1, FreeEndpoint(OwnAddress(1)).port);
  ServingSettings serverSettings = HostSettings(2, this->originSettings.forwardingPort);
  std::shared_ptr<ForwardedCaller> served;
  CallNumber servedNumber;
  bool cancelled = false;
  std::string outcome = "none";
  CallForwarder origin{ this->originLoop,
                        this->clock,
                        this->originSettings,
                        this->metrics,
                        this->memory,
                        1,
                        [](const auto&, auto&, const auto&) {
                          return std::optional(DeclineReason::Unreachable);
                        } };
  CallForwarder server{ this->serverLoop,
                        this->clock,
                        this->serverSettings,
                        this->metrics,
                        this->memory,
                        2,
                        [this](const auto&, auto& aCall, const auto& aCaller) {
                          this->served = aCaller;
                          this->servedNumber = aCall.number;
                          return std::optional<DeclineReason>();
                        } };
};

// Guards against calls that are given up because the host that runs them is silent for a moment.
TEST_F(SilentHostTest, CallIsAnsweredByAHostThatStoodStill)
{
  this->BeginCall();
  Run(this->originLoop, kStandstill);
  EXPECT_EQ(this->outcome, "none");
  this->Answer();
  EXPECT_EQ(this->outcome, "answered");
}

// Guards against calls that are cancelled at their target because the host of their caller is
// silent for a moment.
TEST_F(SilentHostTest, CallOfAHostThatStoodStillIsNotCancelled)
{
  this->BeginCall();
  Run(this->serverLoop, kStandstill);
  EXPECT_FALSE(this->cancelled);
  this->Answer();
  EXPECT_EQ(this->outcome, "answered");
}

// Guards against calls that arrive on a connection while the host that dialed it closes it as idle.
TEST_F(SilentHostTest, CallIsNotLostWithAnIdleConnectionOfTheOtherHost)
{
  ASSERT_TRUE(this->origin.Listen());
  ASSERT_TRUE(this->server.Listen());
  // The server was cut off once and used the origin.
  asio::co_spawn(this->serverLoop, this->server.Connect(this->originSettings.host), asio::detached);
  this->RunBoth(std::chrono::milliseconds(900));
  this->clock.Advance(std::chrono::seconds(6));
  asio::co_spawn(this->originLoop, this->Forward(), asio::detached);
  Run(this->originLoop, std::chrono::milliseconds(100));
  this->server.CloseIdle();
  this->RunBoth(std::chrono::milliseconds(400));
  EXPECT_EQ(this->outcome, "none");
  ASSERT_NE(this->served, nullptr);
  this->Answer();
  EXPECT_EQ(this->outcome, "answered");
}

// Guards against answers that are lost because the host that gave them stops before they are sent.
TEST_F(SilentHostTest, LargeAnswerIsSentBeforeTheHostStops)
{
  this->BeginCall();
  HttpResponseMessage answer;
  answer.head.status = 200;
  answer.body.assign(std::size_t{ 16 } * 1024 * 1024, 'a');
  asio::co_spawn(
    this->serverLoop, this->served->WriteWhole(std::move(answer), false), asio::detached);
  Run(this->serverLoop, std::chrono::milliseconds(50));
  this->server.EndServed(this->originSettings.host, this->servedNumber);
  // As a stopping entry host does.
  for (int check = 0; check < 100 && !this->server.IsFinished(); ++check) {
    this->RunBoth(std::chrono::milliseconds(20));
  }
  EXPECT_TRUE(this->server.IsFinished());
  this->server.Stop();
  this->RunBoth(std::chrono::milliseconds(400));
  EXPECT_EQ(this->outcome, "answered");
}

} // namespace
} // namespace damasklink
