#include "program/CallForwarder.h"

#include <algorithm>
#include <array>

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
  // Of all calls that the server runs.
  std::vector<std::shared_ptr<ForwardedCaller>> callers;
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
                          this->callers.push_back(aCaller);
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

// Several calls that the server runs for the origin over one connection.
class SharedConnectionTest : public SilentHostTest
{
protected:
  // What the origin has received of a call.
  struct Received
  {
    std::unique_ptr<ForwardedResponse> response;
    std::size_t bytes = 0;
    bool complete = false;
    bool lost = false;
  };

  // What the server was told about its answer.
  struct Written
  {
    int parts = 0;
    bool ended = false;
    bool taken = false;
  };

  ~SharedConnectionTest() override
  {
    for (Received& received : this->received) {
      received.response.reset();
    }
  }

  Awaitable<void> Receive(Received& aTo, std::size_t aBody = 0)
  {
    EXPECT_TRUE(co_await this->origin.ConnectWithRoom(
      this->serverSettings.host, aBody, this->origin.MakeWait()));
    ForwardedCall call;
    call.body.assign(aBody, 'b');
    aTo.response = this->origin.Send(this->serverSettings.host, std::move(call));
    while (!aTo.complete && !aTo.lost) {
      const auto message = co_await aTo.response->Next();
      if (!message) {
        aTo.lost = true;
      } else if (const auto* head = std::get_if<ForwardedHead>(&message.value())) {
        aTo.bytes += head->bytes.size();
        aTo.complete = head->whole;
      } else if (const auto* chunk = std::get_if<ForwardedChunk>(&message.value())) {
        aTo.bytes += chunk->bytes.size();
      } else if (const auto* end = std::get_if<ForwardedEnd>(&message.value())) {
        aTo.complete = end->complete;
        aTo.lost = !end->complete;
      }
    }
  }

  void BeginCalls(std::size_t aCount)
  {
    ASSERT_TRUE(this->origin.Listen());
    ASSERT_TRUE(this->server.Listen());
    this->received.resize(aCount);
    for (Received& received : this->received) {
      asio::co_spawn(this->originLoop, this->Receive(received), asio::detached);
    }
    this->RunBoth(std::chrono::milliseconds(200));
    ASSERT_EQ(this->callers.size(), aCount);
  }

  Awaitable<void> WriteWhole(std::size_t aCall, std::size_t aBytes, Written& aWritten)
  {
    HttpResponseMessage answer;
    answer.head.status = 200;
    answer.body.assign(aBytes, 'a');
    aWritten.taken = co_await this->callers[aCall]->WriteWhole(std::move(answer), false);
    aWritten.ended = true;
  }

  Awaitable<void> WriteStream(std::size_t aCall, int aChunks, Written& aWritten)
  {
    HttpResponseHead head;
    head.status = 200;
    aWritten.taken = co_await this->callers[aCall]->BeginStream(head, "", false);
    const std::string chunk(kChunk, 'c');
    while (aWritten.taken && aWritten.parts < aChunks) {
      aWritten.taken = co_await this->callers[aCall]->WriteChunk(chunk);
      ++aWritten.parts;
    }
    if (aWritten.taken) {
      aWritten.taken = co_await this->callers[aCall]->EndStream();
    }
    aWritten.ended = true;
  }

  void Spawn(Awaitable<void> aWriter)
  {
    asio::co_spawn(this->serverLoop, std::move(aWriter), asio::detached);
  }

  template<typename Condition>
  void RunUntil(Condition aCondition)
  {
    for (int turn = 0; turn < 500 && !aCondition(); ++turn) {
      this->RunBoth(std::chrono::milliseconds(20));
    }
  }

  bool IsEach(bool Received::*aState) const
  {
    return std::all_of(this->received.begin(), this->received.end(), [&](const Received& aItem) {
      return aItem.*aState;
    });
  }

  static constexpr std::size_t kWhole = std::size_t{ 4 } * 1024 * 1024;
  static constexpr std::size_t kChunk = std::size_t{ 64 } * 1024;
  // A stream of more bytes than a connection may queue.
  static constexpr int kChunks = 256;

  std::vector<Received> received;
};

// Guards against large answers of several calls that close the connection of all calls.
TEST_F(SharedConnectionTest, LargeAnswersOfSeveralCallsAllArrive)
{
  this->BeginCalls(4);
  std::array<Written, 4> written;
  for (std::size_t call = 0; call < written.size(); ++call) {
    this->Spawn(this->WriteWhole(call, kWhole, written[call]));
  }
  Run(this->serverLoop, std::chrono::milliseconds(50));
  this->RunUntil([&] { return this->IsEach(&Received::complete); });
  for (const Received& received : this->received) {
    EXPECT_TRUE(received.complete);
    EXPECT_EQ(received.bytes, kWhole);
  }
}

// Guards against a stream that its target sends faster than it is read, and that takes all calls of
// the connection with it.
TEST_F(SharedConnectionTest, FastStreamWaitsForTheConnectionAndOtherCallsGoOn)
{
  this->BeginCalls(3);
  std::array<Written, 3> written;
  this->Spawn(this->WriteStream(0, kChunks, written[0]));
  this->Spawn(this->WriteWhole(1, kWhole, written[1]));
  Run(this->serverLoop, std::chrono::milliseconds(50));
  // The stream and the large answer wait, a short one does not.
  EXPECT_LT(this->memory.HeldFor(MemoryUse::PeerQueues), kWhole + 2 * kMebibyte);
  this->Spawn(this->WriteWhole(2, 100, written[2]));
  Run(this->serverLoop, std::chrono::milliseconds(50));
  EXPECT_TRUE(written[2].taken);
  this->RunUntil([&] { return this->IsEach(&Received::complete); });
  EXPECT_TRUE(this->IsEach(&Received::complete));
  EXPECT_EQ(this->received[0].bytes, kChunks * kChunk);
  EXPECT_EQ(this->received[1].bytes, kWhole);
}

// Guards against answers that stay in memory, or in the way of others, after their callers left.
TEST_F(SharedConnectionTest, CallerThatLeavesEndsTheWaitOfItsCallOnly)
{
  this->BeginCalls(4);
  std::array<Written, 4> written;
  for (std::size_t call = 0; call < 3; ++call) {
    this->Spawn(this->WriteWhole(call, kWhole, written[call]));
  }
  this->Spawn(this->WriteStream(3, kChunks, written[3]));
  Run(this->serverLoop, std::chrono::milliseconds(50));
  EXPECT_FALSE(written[1].ended);
  EXPECT_FALSE(written[3].ended);
  this->callers[1]->OnCancelled();
  this->callers[3]->OnCancelled();
  Run(this->serverLoop, std::chrono::milliseconds(20));
  EXPECT_TRUE(written[1].ended);
  EXPECT_FALSE(written[1].taken);
  EXPECT_TRUE(written[3].ended);
  this->RunUntil([&] { return this->received[0].complete && this->received[2].complete; });
  EXPECT_TRUE(this->received[0].complete);
  EXPECT_TRUE(this->received[2].complete);
  EXPECT_EQ(this->received[1].bytes, 0U);
}

// Guards against calls that wait for a connection that no longer exists.
TEST_F(SharedConnectionTest, LostConnectionEndsTheWaitOfAllCalls)
{
  this->BeginCalls(3);
  std::array<Written, 3> written;
  this->Spawn(this->WriteWhole(0, kWhole, written[0]));
  this->Spawn(this->WriteWhole(1, kWhole, written[1]));
  this->Spawn(this->WriteStream(2, kChunks, written[2]));
  Run(this->serverLoop, std::chrono::milliseconds(50));
  this->origin.Stop();
  this->RunUntil([&] { return written[1].ended && written[2].ended; });
  EXPECT_TRUE(written[1].ended);
  EXPECT_FALSE(written[1].taken);
  EXPECT_TRUE(written[2].ended);
  EXPECT_FALSE(written[2].taken);
  EXPECT_EQ(this->memory.HeldFor(MemoryUse::PeerQueues), 0U);
}

// Guards against large calls at the same moment that close the connection of all calls.
TEST_F(SharedConnectionTest, LargeCallsAtOnceKeepTheConnection)
{
  this->BeginCalls(1);
  std::vector<Received> large(3);
  for (Received& call : large) {
    asio::co_spawn(this->originLoop, this->Receive(call, kWhole - 1024), asio::detached);
  }
  Run(this->originLoop, std::chrono::milliseconds(50));
  this->RunUntil([&] { return this->callers.size() == 3; });
  EXPECT_EQ(this->callers.size(), 3U);
  EXPECT_FALSE(this->received[0].lost);
  for (Received& call : large) {
    call.response.reset();
  }
}

// Guards against calls that wait for a connection after their callers left.
TEST_F(SharedConnectionTest, CallerThatLeavesEndsTheWaitOfItsLargeCall)
{
  this->BeginCalls(1);
  Received large;
  asio::co_spawn(this->originLoop, this->Receive(large, kWhole), asio::detached);
  const auto wait = this->origin.MakeWait();
  std::optional<bool> connected;
  const auto connect = [&]() -> Awaitable<void> {
    connected = co_await this->origin.ConnectWithRoom(this->serverSettings.host, kWhole, wait);
  };
  asio::co_spawn(this->originLoop, connect(), asio::detached);
  Run(this->originLoop, std::chrono::milliseconds(50));
  EXPECT_EQ(connected, std::nullopt);
  wait->End();
  Run(this->originLoop, std::chrono::milliseconds(20));
  EXPECT_EQ(connected, false);
  large.response.reset();
}

} // namespace
} // namespace damasklink
