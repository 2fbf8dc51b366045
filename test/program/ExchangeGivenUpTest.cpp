// Tests of attempts that are given up, or not, depending on what would take their place.
#include "SilentTargetFixture.h"
#include "support/OwnAddress.h"

namespace damasklink {
namespace {

using testing::Answer;
using testing::Event;
using testing::FreeEndpoint;
using testing::kLongSilence;
using testing::kService;
using testing::OwnAddress;
using testing::RestOfEvents;
using testing::ScriptedTarget;
using testing::StreamHead;
using testing::Write;

ServingSettings
HostSettings(int aNumber, std::uint16_t aPort)
{
  ServingSettings settings;
  settings.host = HostId(OwnAddress(aNumber));
  settings.forwardingPort = aPort;
  return settings;
}

class ExchangeGivenUpTest : public testing::SilentTargetFixture
{
protected:
  ExchangeGivenUpTest()
    : SilentTargetFixture(HostSettings(1, FreeEndpoint(OwnAddress(1)).port))
  {
  }

  void LeaveRetries(int aCount)
  {
    this->OnLoop([&] {
      RetryBudget& budget = this->retries.Of(kService);
      int taken = 0;
      while (budget.TryTake()) {
        ++taken;
      }
      ASSERT_GE(taken, aCount);
      // Calls give a share of a retry each.
      while (aCount > 0 && !this->Has(budget, aCount)) {
        budget.OnRequest();
      }
    });
  }

  static bool Has(RetryBudget aBudget, int aCount)
  {
    for (int index = 0; index < aCount; ++index) {
      if (!aBudget.TryTake()) {
        return false;
      }
    }
    return true;
  }
};

TEST_F(ExchangeGivenUpTest, StreamOfSilentTargetGoesOnAtTargetThatAnswers)
{
  ScriptedTarget target(
    [this](const auto&, TcpSocket& aSocket) { return this->PauseInStream(aSocket); });
  this->BeginStreamAt(target);
  ScriptedTarget other([](const auto&, TcpSocket& aSocket) { return ContinueStream(aSocket); });
  this->AddOther(other.Address());
  this->LeaveRetries(1);
  this->ReportUnreachableAfter(kLongSilence);
  EXPECT_EQ(this->RestOfStream(), RestOfEvents());
}

// Guards against streams that are cut off because the target that was to go on with them is not
// reached: the retry that was reserved has not been sent, and is left for the next target.
TEST_F(ExchangeGivenUpTest, ReservedRetryOutlivesATargetThatIsNotReached)
{
  ScriptedTarget target(
    [this](const auto&, TcpSocket& aSocket) { return this->PauseInStream(aSocket); });
  ScriptedTarget other([](const auto&, TcpSocket& aSocket) { return ContinueStream(aSocket); });
  this->BeginStreamAt(target);
  this->AddOther(FreeEndpoint("127.0.0.1"), "gone");
  this->AddOther(other.Address());
  // So that the one that is gone is chosen first.
  this->OnLoop([&] { this->health.OnEnd(TargetId("other"), HealthSignal::NotReached); });
  this->LeaveRetries(1);
  this->ReportUnreachableAfter(kLongSilence);
  EXPECT_EQ(this->RestOfStream(), RestOfEvents());
}

// Guards against several streams of a silent target that are given up for the one place that
// another target has.
TEST_F(ExchangeGivenUpTest, StreamsAreNotGivenUpForThePlaceThatAnotherOneTook)
{
  ScriptedTarget target(
    [this](const auto&, TcpSocket& aSocket) { return this->PauseInStream(aSocket); });
  ScriptedTarget other([](const auto&, TcpSocket& aSocket) { return ContinueStream(aSocket); });
  this->BeginStreamAt(target);
  // A second caller with a stream of the same target.
  asio::co_spawn(this->loop, this->Serve(), asio::detached);
  TcpSocket second(this->callerLoop);
  second.connect(this->acceptor.local_endpoint());
  std::swap(this->caller, second);
  this->BeginStream();
  this->AddOther(other.Address());
  this->OnLoop([&] {
    // One send is allowed after a second, the next one a second later.
    TargetLimit limit;
    limit.target = TargetId("other");
    limit.limit = RequestRate{ 1 };
    limit.share = RequestRate{ 1 };
    limit.hosts = { this->self };
    this->limits.SetShares({ limit });
  });
  this->LeaveRetries(3);
  this->ReportUnreachableAfter(kLongSilence);
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  this->speaks.Notify();
  EXPECT_EQ(this->ReceiveUpTo("0\r\n\r\n"), RestOfEvents());
  std::swap(this->caller, second);
  EXPECT_EQ(this->ReceiveUpTo("0\r\n\r\n"), RestOfEvents());
}

// Guards against answers that are given up while they arrive: the silence is counted from their
// head on.
TEST_F(ExchangeGivenUpTest, AnswerThatArrivesSlowlyIsNotSilent)
{
  ScriptedTarget target([](const auto&, TcpSocket& aSocket) {
    Write(aSocket, "HTTP/1.1 200 X\r\nX-Request-Id: r1\r\nContent-Length: 20\r\n\r\n");
    for (int byte = 0; byte < 20; ++byte) {
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
      IoError ignored;
      asio::write(aSocket, asio::buffer("x", 1), ignored);
    }
    return true;
  });
  ScriptedTarget other([](const auto&, TcpSocket& aSocket) {
    Write(aSocket, Answer(200, "run again"));
    return true;
  });
  this->AddTarget("t", target.Address());
  this->Start();
  this->Call("/idempotent/");
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  this->AddOther(other.Address());
  this->LeaveRetries(1);
  this->ReportUnreachableAfter(kLongSilence);
  EXPECT_NE(this->Receive().find(std::string(20, 'x')), std::string::npos);
  EXPECT_TRUE(other.Requests().empty());
}

// Guards against streams that are cut off because other hosts, which do not reach the service
// either, count as another way.
TEST_F(ExchangeGivenUpTest, StreamIsNotGivenUpForAHostThatDeclinesIt)
{
  EXPECT_TRUE(this->forwarder.Listen());
  ServingSettings otherSettings = HostSettings(2, this->settings.forwardingPort);
  CallForwarder otherForwarder(
    this->loop,
    this->clock,
    otherSettings,
    this->metrics,
    this->memory,
    2,
    [](const auto&, auto&, const auto&) { return DeclineReason::Unreachable; });
  EXPECT_TRUE(otherForwarder.Listen());
  this->forwarder.SetHosts({ { otherSettings.host, ZoneId("n") } });
  ScriptedTarget target(
    [this](const auto&, TcpSocket& aSocket) { return this->PauseInStream(aSocket); });
  this->BeginStreamAt(target);
  std::this_thread::sleep_for(kLongSilence);
  this->ReportServiceLostAfter(Duration(0));
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  EXPECT_EQ(this->RestOfStream(), RestOfEvents());
  this->Stop();
}

// Guards against calls that fail because all targets of a service are silent for a moment.
TEST_F(ExchangeGivenUpTest, CallIsNotGivenUpAtOnceForAHostThatDeclinesIt)
{
  EXPECT_TRUE(this->forwarder.Listen());
  ServingSettings otherSettings = HostSettings(2, this->settings.forwardingPort);
  CallForwarder otherForwarder(
    this->loop,
    this->clock,
    otherSettings,
    this->metrics,
    this->memory,
    2,
    [](const auto&, auto&, const auto&) { return DeclineReason::Unreachable; });
  EXPECT_TRUE(otherForwarder.Listen());
  this->forwarder.SetHosts({ { otherSettings.host, ZoneId("n") } });
  ScriptedTarget target([this](const auto&, TcpSocket& aSocket) {
    this->speaks.WaitForNotification();
    Write(aSocket, Answer(200, "done"));
    return true;
  });
  this->AddTarget("t", target.Address());
  this->Start();
  this->Call("/idempotent/");
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  this->ReportServiceLostAfter(Duration(0));
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  this->speaks.Notify();
  EXPECT_NE(this->Receive().find("HTTP/1.1 200"), std::string::npos);
  this->Stop();
}

// Guards against streams that are given up to be refused: the host knows that no other target may
// get the request.
TEST_F(ExchangeGivenUpTest, StreamThatNoOtherTargetMayGetIsNotGivenUp)
{
  ScriptedTarget target(
    [this](const auto&, TcpSocket& aSocket) { return this->PauseInStream(aSocket); });
  this->BeginStreamAt(target);
  ScriptedTarget other([](const auto&, TcpSocket& aSocket) { return ContinueStream(aSocket); });
  this->AddOther(other.Address());
  RequestIdentity identity;
  identity.host = "h";
  identity.method = "GET";
  identity.path = "/resumable/";
  this->OnLoop([&] {
    CrashingRequests verdicts;
    verdicts.refused = { FingerprintOf(identity) };
    this->crashFilter.SetVerdicts(HostId("control"), verdicts);
  });
  this->ReportUnreachableAfter(kLongSilence);
  EXPECT_EQ(this->RestOfStream(), RestOfEvents());
}

// Guards against streams that wait to the end for a target that has ended, because it was found to
// be sound during an earlier pause.
TEST_F(ExchangeGivenUpTest, TargetIsCheckedInEachSilence)
{
  absl::Notification pauses;
  ScriptedTarget target([&](const auto&, TcpSocket& aSocket) {
    std::this_thread::sleep_for(std::chrono::milliseconds(800));
    Write(aSocket, StreamHead() + Event(1));
    this->speaks.WaitForNotification();
    Write(aSocket, "0\r\n\r\n");
    return true;
  });
  this->AddTarget("t", target.Address());
  this->Start();
  this->Call("/resumable/");
  // The prompt takes 0.8 s.
  std::this_thread::sleep_for(std::chrono::milliseconds(700));
  this->CheckAll();
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  EXPECT_EQ(target.Connections(), 2U);
  this->ReceiveUpTo("data: 1\n\n\r\n");
  for (int check = 0; check < 25; ++check) {
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    this->CheckAll();
  }
  EXPECT_GE(target.Connections(), 3U);
  this->speaks.Notify();
}

// Guards against attempts that are kept for want of a retry and never given up, though there is one
// a moment later.
TEST_F(ExchangeGivenUpTest, KeptAttemptMovesOnWhenThereIsARetryAgain)
{
  ScriptedTarget target(
    [this](const auto&, TcpSocket& aSocket) { return this->PauseInStream(aSocket); });
  this->BeginStreamAt(target);
  ScriptedTarget other([](const auto&, TcpSocket& aSocket) { return ContinueStream(aSocket); });
  this->AddOther(other.Address());
  this->LeaveRetries(0);
  std::this_thread::sleep_for(kLongSilence);
  this->CheckAll();
  this->ReportUnreachableAfter(Duration(0));
  this->LeaveRetries(0);
  this->OnLoop([&] {
    for (int index = 0; index < 1000; ++index) {
      this->retries.Of(kService).OnRequest();
    }
  });
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  const std::size_t before = target.Connections();
  for (int check = 0; check < 20; ++check) {
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    this->CheckAll();
  }
  // Neither moved on nor asked again.
  EXPECT_TRUE(!other.Requests().empty() || target.Connections() > before);
  this->speaks.Notify();
}

} // namespace
} // namespace damasklink
