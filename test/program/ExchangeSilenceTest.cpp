// Tests of what an exchange does while its target sends nothing.
#include "SilentTargetFixture.h"

namespace damasklink {
namespace {

using testing::Answer;
using testing::kLongSilence;
using testing::kSoundSilence;
using testing::RestOfEvents;
using testing::ScriptedTarget;
using testing::Write;

class ExchangeSilenceTest : public testing::SilentTargetFixture
{};

// Guards against streams that are cut off because their target is silent for a second and no other
// target can continue them.
TEST_F(ExchangeSilenceTest, StreamOfSilentTargetIsNotCutOffWithoutAnotherTarget)
{
  ScriptedTarget target(
    [this](const auto&, TcpSocket& aSocket) { return this->PauseInStream(aSocket); });
  this->BeginStreamAt(target);
  this->ReportUnreachableAfter(kLongSilence);
  EXPECT_EQ(this->RestOfStream(), RestOfEvents());
}

// Guards against streams that are cut off because their target is silent for a second and the retry
// budget is used up.
TEST_F(ExchangeSilenceTest, StreamOfSilentTargetIsNotCutOffWithoutRetries)
{
  ScriptedTarget target(
    [this](const auto&, TcpSocket& aSocket) { return this->PauseInStream(aSocket); });
  this->BeginStreamAt(target);
  ScriptedTarget other([](const auto&, TcpSocket&) { return false; });
  this->AddOther(other.Address());
  this->UseUpRetries();
  this->ReportUnreachableAfter(kLongSilence);
  EXPECT_EQ(this->RestOfStream(), RestOfEvents());
  EXPECT_TRUE(other.Requests().empty());
}

// Guards against calls that fail because their target is silent for a second and the retry budget
// is used up.
TEST_F(ExchangeSilenceTest, CallOfSilentTargetDoesNotFailWithoutRetries)
{
  ScriptedTarget target([this](const auto&, TcpSocket& aSocket) {
    this->speaks.WaitForNotification();
    Write(aSocket, Answer(200, "done"));
    return true;
  });
  this->AddTarget("t", target.Address());
  this->Start();
  this->UseUpRetries();
  this->Call("/idempotent/");
  this->ReportUnreachableAfter(kLongSilence);
  this->speaks.Notify();
  EXPECT_NE(this->Receive().find("HTTP/1.1 200"), std::string::npos);
}

// Guards against streams that are moved to another target, where their prompt is read once more,
// because their target is silent for a second.
TEST_F(ExchangeSilenceTest, StreamStaysAtTargetThatIsSilentForASecond)
{
  ScriptedTarget target(
    [this](const auto&, TcpSocket& aSocket) { return this->PauseInStream(aSocket); });
  ScriptedTarget other([](const auto&, TcpSocket& aSocket) { return ContinueStream(aSocket); });
  this->BeginStreamAt(target);
  this->AddOther(other.Address());
  this->ReportUnreachableAfter(kSoundSilence);
  EXPECT_EQ(this->RestOfStream(), RestOfEvents());
  EXPECT_TRUE(other.Requests().empty());
}

// Guards against streams that wait for a target that has ended without closing its connections.
TEST_F(ExchangeSilenceTest, StreamOfTargetThatStaysSilentGoesOnElsewhere)
{
  ScriptedTarget target(
    [this](const auto&, TcpSocket& aSocket) { return this->PauseInStream(aSocket); });
  ScriptedTarget other([](const auto&, TcpSocket& aSocket) { return ContinueStream(aSocket); });
  this->BeginStreamAt(target);
  this->AddOther(other.Address());
  this->ReportUnreachableAfter(kLongSilence);
  EXPECT_EQ(this->ReceiveUpTo("0\r\n\r\n"), RestOfEvents());
  this->speaks.Notify();
}

// Guards against streams that are cut off because all targets are silent for a second and no other
// entry host can take the call.
TEST_F(ExchangeSilenceTest, StreamOfSilentServiceIsNotCutOffWithoutAnotherHost)
{
  ScriptedTarget target(
    [this](const auto&, TcpSocket& aSocket) { return this->PauseInStream(aSocket); });
  this->BeginStreamAt(target);
  this->ReportServiceLostAfter(kLongSilence);
  EXPECT_EQ(this->RestOfStream(), RestOfEvents());
}

} // namespace
} // namespace damasklink
