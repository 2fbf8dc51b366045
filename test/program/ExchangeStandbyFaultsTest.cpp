// Tests of what the attempt beside a silent one must not cost its caller or the targets.
#include "SilentTargetFixture.h"

namespace damasklink {
namespace {

using testing::Answer;
using testing::Event;
using testing::kLongSilence;
using testing::kService;
using testing::RestOfEvents;
using testing::ScriptedTarget;
using testing::StreamHead;
using testing::Write;

class ExchangeStandbyFaultsTest : public testing::SilentTargetFixture
{
protected:
  static bool Within(const std::function<bool()>& aHappens)
  {
    for (int check = 0; check < 300 && !aHappens(); ++check) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return aHappens();
  }

  // Allows this many attempts of each call, and enough retries.
  void AllowAttempts(int aCount)
  {
    std::string document = this->Document(*this->config);
    const std::string before = "\"max-attempts\":2";
    for (std::size_t at = document.find(before); at != std::string::npos;
         at = document.find(before, at + 1)) {
      document.replace(at, before.size(), "\"max-attempts\":" + std::to_string(aCount));
    }
    document.replace(document.find("\"version\":1"), 11, "\"version\":2");
    this->OnLoop([&] {
      this->state.InstallRoutes(ReadRoutes(this->dialect, document).value());
      this->AddRetries();
      EXPECT_EQ(this->state.Routes()->FindRoute("h", "/resumable/")->mostTargets,
                static_cast<std::uint64_t>(aCount));
    });
  }

  void AddRetries()
  {
    for (int call = 0; call < 1000; ++call) {
      this->retries.Of(kService).OnRequest();
    }
  }

  // Closes the caller's connection after a while, so that a test whose answer does not come ends.
  template<typename Receive>
  std::string ReceiveWithin(Duration aTime, Receive aReceive)
  {
    absl::Notification received;
    std::thread guard([&] {
      if (!received.WaitForNotificationWithTimeout(absl::FromChrono(aTime))) {
        IoError ignored;
        this->caller.shutdown(TcpSocket::shutdown_both, ignored);
      }
    });
    std::string text = aReceive();
    received.Notify();
    guard.join();
    return text;
  }

  // The loop goes on once the caller's connection has ended.
  asio::executor_work_guard<asio::io_context::executor_type> work{ this->loop.get_executor() };
};

// Guards against calls that wait for two silent targets while a third one would answer.
TEST_F(ExchangeStandbyFaultsTest, StandbyAtATargetThatIsSilentTooIsFollowedByAnother)
{
  absl::Notification ended;
  ScriptedTarget target(
    [this](const auto&, TcpSocket& aSocket) { return this->PauseInStream(aSocket); });
  ScriptedTarget silent([&](const auto&, TcpSocket&) {
    ended.WaitForNotification();
    return false;
  });
  ScriptedTarget sound([](const auto&, TcpSocket& aSocket) { return ContinueStream(aSocket); });
  this->AddTarget("t", target.Address());
  this->Start();
  this->AllowAttempts(3);
  this->BeginStream();
  this->AddOther(silent.Address(), "silent");
  this->ReportUnreachableAfter(kLongSilence);
  EXPECT_TRUE(Within([&] { return silent.Requests().size() == 1; }));
  this->AddOther(sound.Address(), "sound");
  for (int check = 0; check < 20; ++check) {
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    this->CheckAll();
    this->ReportUnreachableAfter(Duration(0));
    this->ForEachWaiting(
      [](Exchange& aExchange) { aExchange.OnTargetUnreachable(TargetId("silent")); });
  }
  EXPECT_EQ(
    this->ReceiveWithin(std::chrono::seconds(1), [&] { return this->ReceiveUpTo("0\r\n\r\n"); }),
    RestOfEvents());
  ended.Notify();
  this->speaks.Notify();
}

// The same if the first target has ended meanwhile.
TEST_F(ExchangeStandbyFaultsTest, EndOfTheFirstTargetIsNotFollowedByAWaitForASilentOne)
{
  absl::Notification ended;
  ScriptedTarget target([this](const auto&, TcpSocket& aSocket) {
    Write(aSocket, StreamHead() + Event(1));
    this->speaks.WaitForNotification();
    return false;
  });
  ScriptedTarget silent([&](const auto&, TcpSocket&) {
    ended.WaitForNotification();
    return false;
  });
  ScriptedTarget sound([](const auto&, TcpSocket& aSocket) { return ContinueStream(aSocket); });
  this->AddTarget("t", target.Address());
  this->Start();
  this->AllowAttempts(3);
  this->BeginStream();
  this->AddOther(silent.Address(), "silent");
  this->ReportUnreachableAfter(kLongSilence);
  EXPECT_TRUE(Within([&] { return silent.Requests().size() == 1; }));
  this->AddOther(sound.Address(), "sound");
  this->speaks.Notify();
  for (int check = 0; check < 20; ++check) {
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    this->CheckAll();
    this->ForEachWaiting(
      [](Exchange& aExchange) { aExchange.OnTargetUnreachable(TargetId("silent")); });
  }
  EXPECT_EQ(
    this->ReceiveWithin(std::chrono::seconds(1), [&] { return this->ReceiveUpTo("0\r\n\r\n"); }),
    RestOfEvents());
  ended.Notify();
}

// Guards against an error that is written into a stream, and ends it, though its target is sound.
TEST_F(ExchangeStandbyFaultsTest, ErrorOfTheOtherTargetDoesNotReplaceAStream)
{
  ScriptedTarget target(
    [this](const auto&, TcpSocket& aSocket) { return this->PauseInStream(aSocket); });
  ScriptedTarget other([](const auto&, TcpSocket& aSocket) {
    Write(aSocket, Answer(409, "conflict"));
    return true;
  });
  this->BeginStreamAt(target);
  this->AddOther(other.Address());
  this->ReportUnreachableAfter(kLongSilence);
  EXPECT_TRUE(Within([&] { return !other.Requests().empty(); }));
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  this->speaks.Notify();
  EXPECT_EQ(
    this->ReceiveWithin(std::chrono::seconds(1), [&] { return this->ReceiveUpTo("0\r\n\r\n"); }),
    RestOfEvents());
}

// Guards against streams that are closed for a target that sends a head and no event.
TEST_F(ExchangeStandbyFaultsTest, HeadWithoutAnEventDoesNotReplaceAStream)
{
  ScriptedTarget target(
    [this](const auto&, TcpSocket& aSocket) { return this->PauseInStream(aSocket); });
  ScriptedTarget other([](const auto&, TcpSocket& aSocket) {
    Write(aSocket, StreamHead());
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    return false;
  });
  this->BeginStreamAt(target);
  this->AddOther(other.Address());
  this->ReportUnreachableAfter(kLongSilence);
  EXPECT_TRUE(Within([&] { return !other.Requests().empty(); }));
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  this->speaks.Notify();
  EXPECT_EQ(
    this->ReceiveWithin(std::chrono::seconds(4), [&] { return this->ReceiveUpTo("0\r\n\r\n"); }),
    RestOfEvents());
}

// Guards against answers that are closed while they arrive, because they were silent before.
TEST_F(ExchangeStandbyFaultsTest, AnswerThatArrivesAgainIsNotClosedForAnother)
{
  ScriptedTarget target([this](const auto&, TcpSocket& aSocket) {
    Write(aSocket, "HTTP/1.1 200 X\r\nX-Request-Id: r1\r\nContent-Length: 15\r\n\r\nfirst");
    this->speaks.WaitForNotification();
    Write(aSocket, "after");
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    Write(aSocket, "pause");
    return true;
  });
  absl::Notification reads;
  ScriptedTarget other([&](const auto&, TcpSocket& aSocket) {
    reads.WaitForNotification();
    Write(aSocket, "HTTP/1.1 200 X\r\nX-Request-Id: r1\r\nContent-Length: 15\r\n\r\n");
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    return false;
  });
  this->AddTarget("t", target.Address());
  this->Start();
  this->Call("/idempotent/");
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  this->AddOther(other.Address());
  this->ReportUnreachableAfter(kLongSilence);
  EXPECT_TRUE(Within([&] { return other.Requests().size() == 1; }));
  this->speaks.Notify();
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  reads.Notify();
  EXPECT_NE(this->Receive().find("firstafterpause"), std::string::npos);
}

// Guards against a limited target that is sent one call for each attempt that chose it while it
// had one place.
TEST_F(ExchangeStandbyFaultsTest, StandbyAttemptsKeepTheLimitOfTheTarget)
{
  ScriptedTarget target(
    [this](const auto&, TcpSocket& aSocket) { return this->PauseInStream(aSocket); });
  absl::Notification ended;
  ScriptedTarget other([&](const auto&, TcpSocket&) {
    ended.WaitForNotification();
    return false;
  });
  this->BeginStreamAt(target);
  asio::co_spawn(this->loop, this->Serve(), asio::detached);
  TcpSocket second(this->callerLoop);
  second.connect(this->acceptor.local_endpoint());
  std::swap(this->caller, second);
  this->BeginStream();
  this->AddOther(other.Address());
  this->OnLoop([&] {
    TargetLimit limit;
    limit.target = TargetId("other");
    limit.limit = RequestRate{ 1 };
    limit.share = RequestRate{ 1 };
    limit.hosts = { this->self };
    this->limits.SetShares({ limit });
    this->AddRetries();
  });
  this->ReportUnreachableAfter(kLongSilence);
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  EXPECT_EQ(other.Requests().size(), 1U);
  this->speaks.Notify();
  ended.Notify();
}

// Guards against streams that are cut off at once when their connection breaks while no target is
// reached, though one is reached before their callers leave.
TEST_F(ExchangeStandbyFaultsTest, StreamWhoseSilentTargetBreaksWaitsForTheService)
{
  ScriptedTarget target([this](const auto&, TcpSocket& aSocket) {
    Write(aSocket, StreamHead() + Event(1));
    this->speaks.WaitForNotification();
    return false;
  });
  ScriptedTarget other([](const auto&, TcpSocket& aSocket) { return ContinueStream(aSocket); });
  this->BeginStreamAt(target);
  this->AddOther(other.Address());
  this->ReportServiceLostAfter(kLongSilence);
  this->speaks.Notify();
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  this->OnLoop([&] { this->paths.EndProbe(kService, true); });
  EXPECT_EQ(
    this->ReceiveWithin(std::chrono::seconds(3), [&] { return this->ReceiveUpTo("0\r\n\r\n"); }),
    RestOfEvents());
}

// Guards against streams of a dead target that wait because other calls look for a way in vain.
TEST_F(ExchangeStandbyFaultsTest, SearchesOfOtherCallsDoNotKeepAStreamAtADeadTarget)
{
  ScriptedTarget target(
    [this](const auto&, TcpSocket& aSocket) { return this->PauseInStream(aSocket); });
  ScriptedTarget other([](const auto&, TcpSocket& aSocket) { return ContinueStream(aSocket); });
  this->BeginStreamAt(target);
  this->AddOther(other.Address());
  this->OnLoop([&] { this->context.standbys = 32; });
  this->ReportUnreachableAfter(kLongSilence);
  EXPECT_EQ(
    this->ReceiveWithin(std::chrono::seconds(1), [&] { return this->ReceiveUpTo("0\r\n\r\n"); }),
    RestOfEvents());
  this->speaks.Notify();
}

} // namespace
} // namespace damasklink
