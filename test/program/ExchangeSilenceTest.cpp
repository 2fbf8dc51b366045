// Tests of what an exchange does while its target sends nothing.
#include <absl/synchronization/notification.h>

#include "ExchangeFixture.h"

namespace damasklink {
namespace {

using testing::Answer;
using testing::Chunk;
using testing::kService;
using testing::ScriptedTarget;
using testing::StreamHead;
using testing::Write;

// As long as a sound target may be silent.
constexpr auto kSoundSilence = std::chrono::milliseconds(1100);
// Longer than a sound target is silent.
constexpr auto kLongSilence = std::chrono::milliseconds(1400);

std::string
Event(int aNumber)
{
  const std::string number = std::to_string(aNumber);
  return Chunk("id: " + number + "\ndata: " + number + "\n\n");
}

class ExchangeSilenceTest : public testing::ExchangeFixture
{
protected:
  // Sends an event, is silent, and completes its response when it may.
  bool PauseInStream(TcpSocket& aSocket)
  {
    Write(aSocket, StreamHead() + Event(1));
    this->speaks.WaitForNotification();
    Write(aSocket, Event(2) + "0\r\n\r\n");
    return true;
  }

  // Makes another target known while the first one is busy.
  void AddOther(const Endpoint& aEndpoint)
  {
    TargetUpdate update = this->targetUpdates.front();
    update.record.id = TargetId("other");
    update.record.endpoint = aEndpoint;
    this->TakeUpdate(update);
  }

  // Waits and reports to all exchanges that the target accepts no connections.
  void ReportUnreachableAfter(Duration aSilence)
  {
    std::this_thread::sleep_for(aSilence);
    this->OnLoop([&] {
      const std::set<Exchange*> waiting = this->context.waiting;
      for (Exchange* exchange : waiting) {
        exchange->OnTargetUnreachable(TargetId("t"));
      }
    });
  }

  // Waits and reports that this host reaches no target of the service.
  void ReportServiceLostAfter(Duration aSilence)
  {
    std::this_thread::sleep_for(aSilence);
    this->OnLoop([&] {
      this->paths.BeginProbe(kService);
      this->paths.EndProbe(kService, false);
      const std::set<Exchange*> waiting = this->context.waiting;
      for (Exchange* exchange : waiting) {
        exchange->CheckSilence();
      }
    });
  }

  void UseUpRetries()
  {
    this->OnLoop([&] {
      while (this->retries.Of(kService).TryTake()) {
      }
    });
  }

  // Lets the target speak again and returns what the caller gets up to the end of the stream.
  std::string RestOfStream()
  {
    this->speaks.Notify();
    return this->ReceiveUpTo("0\r\n\r\n");
  }

  absl::Notification speaks;
};

// Guards against streams that are cut off because their target is silent for a second and no other
// target can continue them.
TEST_F(ExchangeSilenceTest, StreamOfSilentTargetIsNotCutOffWithoutAnotherTarget)
{
  ScriptedTarget target(
    [this](const auto&, TcpSocket& aSocket) { return this->PauseInStream(aSocket); });
  this->AddTarget("t", target.Address());
  this->Start();
  this->Call("/resumable/");
  this->ReceiveUpTo("data: 1\n\n\r\n");
  this->ReportUnreachableAfter(kLongSilence);
  EXPECT_EQ(this->RestOfStream(), Event(2) + "0\r\n\r\n");
}

// Guards against streams that are cut off because their target is silent for a second and the retry
// budget is used up.
TEST_F(ExchangeSilenceTest, StreamOfSilentTargetIsNotCutOffWithoutRetries)
{
  ScriptedTarget target(
    [this](const auto&, TcpSocket& aSocket) { return this->PauseInStream(aSocket); });
  this->AddTarget("t", target.Address());
  this->Start();
  this->Call("/resumable/");
  this->ReceiveUpTo("data: 1\n\n\r\n");
  ScriptedTarget other([](const auto&, TcpSocket&) { return false; });
  this->AddOther(other.Address());
  this->UseUpRetries();
  this->ReportUnreachableAfter(kLongSilence);
  EXPECT_EQ(this->RestOfStream(), Event(2) + "0\r\n\r\n");
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
  ScriptedTarget other([](const auto&, TcpSocket& aSocket) {
    Write(aSocket, StreamHead() + Event(2) + "0\r\n\r\n");
    return true;
  });
  this->AddTarget("t", target.Address());
  this->Start();
  this->Call("/resumable/");
  this->ReceiveUpTo("data: 1\n\n\r\n");
  this->AddOther(other.Address());
  this->ReportUnreachableAfter(kSoundSilence);
  EXPECT_EQ(this->RestOfStream(), Event(2) + "0\r\n\r\n");
  EXPECT_TRUE(other.Requests().empty());
}

// Guards against streams that wait for a target that has ended without closing its connections.
TEST_F(ExchangeSilenceTest, StreamOfTargetThatStaysSilentGoesOnElsewhere)
{
  ScriptedTarget target(
    [this](const auto&, TcpSocket& aSocket) { return this->PauseInStream(aSocket); });
  ScriptedTarget other([](const auto&, TcpSocket& aSocket) {
    Write(aSocket, StreamHead() + Event(2) + "0\r\n\r\n");
    return true;
  });
  this->AddTarget("t", target.Address());
  this->Start();
  this->Call("/resumable/");
  this->ReceiveUpTo("data: 1\n\n\r\n");
  this->AddOther(other.Address());
  this->ReportUnreachableAfter(kLongSilence);
  EXPECT_EQ(this->ReceiveUpTo("0\r\n\r\n"), Event(2) + "0\r\n\r\n");
  this->speaks.Notify();
}

// Guards against streams that are cut off because all targets are silent for a second and no other
// entry host can take the call.
TEST_F(ExchangeSilenceTest, StreamOfSilentServiceIsNotCutOffWithoutAnotherHost)
{
  ScriptedTarget target(
    [this](const auto&, TcpSocket& aSocket) { return this->PauseInStream(aSocket); });
  this->AddTarget("t", target.Address());
  this->Start();
  this->Call("/resumable/");
  this->ReceiveUpTo("data: 1\n\n\r\n");
  this->ReportServiceLostAfter(kLongSilence);
  EXPECT_EQ(this->RestOfStream(), Event(2) + "0\r\n\r\n");
}

} // namespace
} // namespace damasklink
