// Tests of attempts that are made beside one whose target is silent.
#include "SilentTargetFixture.h"

namespace damasklink {
namespace {

using testing::Answer;
using testing::Chunk;
using testing::Event;
using testing::kLongSilence;
using testing::RestOfEvents;
using testing::ScriptedTarget;
using testing::StreamHead;
using testing::Write;

class ExchangeStandbyTest : public testing::SilentTargetFixture
{
protected:
  // Returns whether this happens within five seconds.
  static bool Within(const std::function<bool()>& aHappens)
  {
    for (int check = 0; check < 500 && !aHappens(); ++check) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return aHappens();
  }
};

// Guards against streams that are closed for a target that takes them and then says nothing.
TEST_F(ExchangeStandbyTest, SilentTargetThatSpeaksFirstKeepsItsStream)
{
  absl::Notification ended;
  ScriptedTarget target(
    [this](const auto&, TcpSocket& aSocket) { return this->PauseInStream(aSocket); });
  ScriptedTarget other([&](const auto&, TcpSocket&) {
    ended.WaitForNotification();
    return false;
  });
  this->BeginStreamAt(target);
  this->AddOther(other.Address());
  this->ReportUnreachableAfter(kLongSilence);
  EXPECT_TRUE(Within([&] { return other.Requests().size() == 1; }));
  EXPECT_EQ(this->RestOfStream(), RestOfEvents());
  ended.Notify();
}

// Guards against streams that are cut off because another target was asked and refused.
TEST_F(ExchangeStandbyTest, RefusalOfTheOtherTargetCostsTheStreamNothing)
{
  ScriptedTarget target(
    [this](const auto&, TcpSocket& aSocket) { return this->PauseInStream(aSocket); });
  ScriptedTarget other([](const auto&, TcpSocket& aSocket) {
    Write(aSocket, Answer(503, "full", "X-Not-Executed: 1\r\n"));
    return true;
  });
  this->BeginStreamAt(target);
  this->AddOther(other.Address());
  this->ReportUnreachableAfter(kLongSilence);
  EXPECT_TRUE(Within([&] { return !other.Requests().empty(); }));
  EXPECT_EQ(this->RestOfStream(), RestOfEvents());
}

// Guards against streams that are cut off because another target was asked and broke off.
TEST_F(ExchangeStandbyTest, EndOfTheOtherTargetCostsTheStreamNothing)
{
  ScriptedTarget target(
    [this](const auto&, TcpSocket& aSocket) { return this->PauseInStream(aSocket); });
  ScriptedTarget other([](const auto&, TcpSocket&) { return false; });
  this->BeginStreamAt(target);
  this->AddOther(other.Address());
  this->ReportUnreachableAfter(kLongSilence);
  EXPECT_TRUE(Within([&] { return !other.Requests().empty(); }));
  EXPECT_EQ(this->RestOfStream(), RestOfEvents());
}

// Guards against streams that are cut off because their target ends while another one reads their
// prompt.
TEST_F(ExchangeStandbyTest, StreamGoesOnAtTheOtherTargetIfTheSilentOneEnds)
{
  ScriptedTarget target([this](const auto&, TcpSocket& aSocket) {
    Write(aSocket, StreamHead() + Event(1));
    this->speaks.WaitForNotification();
    return false;
  });
  absl::Notification reads;
  ScriptedTarget other([&](const auto&, TcpSocket& aSocket) {
    reads.WaitForNotification();
    return ContinueStream(aSocket);
  });
  this->BeginStreamAt(target);
  this->AddOther(other.Address());
  this->ReportUnreachableAfter(kLongSilence);
  EXPECT_TRUE(Within([&] { return other.Requests().size() == 1; }));
  this->speaks.Notify();
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  reads.Notify();
  EXPECT_EQ(this->ReceiveUpTo("0\r\n\r\n"), RestOfEvents());
}

// Guards against a stream that two targets work on.
TEST_F(ExchangeStandbyTest, SilentTargetSeesTheEndOfItsConnectionOnceTheOtherAnswers)
{
  absl::Notification closed;
  ScriptedTarget target([&](const auto&, TcpSocket& aSocket) {
    Write(aSocket, StreamHead() + Event(1));
    char byte = 0;
    IoError error;
    aSocket.read_some(asio::buffer(&byte, 1), error);
    closed.Notify();
    return false;
  });
  ScriptedTarget other([](const auto&, TcpSocket& aSocket) { return ContinueStream(aSocket); });
  this->BeginStreamAt(target);
  this->AddOther(other.Address());
  this->ReportUnreachableAfter(kLongSilence);
  EXPECT_EQ(this->ReceiveUpTo("0\r\n\r\n"), RestOfEvents());
  EXPECT_TRUE(closed.WaitForNotificationWithTimeout(absl::Seconds(5)));
}

// Guards against calls without an answer that are closed for a target that says nothing either.
TEST_F(ExchangeStandbyTest, FirstOfTwoAnswersOfAnIdempotentCallIsDelivered)
{
  absl::Notification ended;
  ScriptedTarget target([this](const auto&, TcpSocket& aSocket) {
    this->speaks.WaitForNotification();
    Write(aSocket, Answer(200, "first"));
    return true;
  });
  ScriptedTarget other([&](const auto&, TcpSocket&) {
    ended.WaitForNotification();
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
  EXPECT_NE(this->Receive().find("first"), std::string::npos);
  ended.Notify();
}

// Guards against a call that may not be repeated being sent twice.
TEST_F(ExchangeStandbyTest, CallThatMayNotBeRepeatedHasNoStandby)
{
  ScriptedTarget target([this](const auto&, TcpSocket& aSocket) {
    this->speaks.WaitForNotification();
    Write(aSocket, Answer(200, "first"));
    return true;
  });
  ScriptedTarget other([](const auto&, TcpSocket&) { return false; });
  this->AddTarget("t", target.Address());
  this->Start();
  this->Call("/once/");
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  this->AddOther(other.Address());
  this->ReportUnreachableAfter(kLongSilence);
  this->speaks.Notify();
  EXPECT_NE(this->Receive().find("first"), std::string::npos);
  EXPECT_TRUE(other.Requests().empty());
}

// Guards against a host that keeps looking for other ways for calls that have ended.
TEST_F(ExchangeStandbyTest, NoStandbyIsLeftOnceTheCallHasEnded)
{
  ScriptedTarget target(
    [this](const auto&, TcpSocket& aSocket) { return this->PauseInStream(aSocket); });
  this->BeginStreamAt(target);
  this->ReportUnreachableAfter(kLongSilence);
  EXPECT_EQ(this->RestOfStream(), RestOfEvents());
  EXPECT_TRUE(Within([&] {
    std::size_t left = 1;
    this->OnLoop([&] { left = this->context.standbys; });
    return left == 0;
  }));
}

} // namespace
} // namespace damasklink
