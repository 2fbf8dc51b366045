// Tests of what an exchange does when its host stops.
#include "SilentTargetFixture.h"

namespace damasklink {
namespace {

using testing::Answer;
using testing::ScriptedTarget;
using testing::Write;

class ExchangeStopTest : public testing::SilentTargetFixture
{
protected:
  // The host begins to stop, and calls are cut off after this time.
  void BeginStop(Duration aTimeToCutOff)
  {
    this->OnLoop([&] {
      this->context.shuttingDown = true;
      this->stopAdmission.BeginStop(this->clock.MonotonicNow() + aTimeToCutOff);
    });
  }

  void ReachStopLimit()
  {
    this->OnLoop([&] {
      const std::set<Exchange*> inProgress = this->context.inProgress;
      for (Exchange* exchange : inProgress) {
        exchange->OnStopLimit();
      }
    });
  }

  // Calls of the route take this long.
  void Learn(const char* aRoute, Duration aTook)
  {
    this->OnLoop([&] { this->stopAdmission.OnAnswered(aRoute, aTook, Duration::zero()); });
  }
};

// Guards against answers that end without their rest because a host took them late in its stop.
TEST_F(ExchangeStopTest, CallThatWouldBeCutOffIsRefusedBeforeItIsSent)
{
  std::atomic<int> calls{ 0 };
  ScriptedTarget target([&](const std::string& /*aRequest*/, TcpSocket& aSocket) {
    ++calls;
    Write(aSocket, Answer(200, "a"));
    return true;
  });
  this->AddTarget("t", target.Address());
  this->Start();
  this->Learn("/once/", std::chrono::seconds(5));
  this->BeginStop(std::chrono::seconds(4));
  this->Call("/once/");
  const std::string answer = this->ReceiveAll();
  EXPECT_NE(answer.find("HTTP/1.1 503"), std::string::npos) << answer;
  EXPECT_NE(answer.find("Connection: close"), std::string::npos) << answer;
  EXPECT_NE(answer.find("Retry-After: 0.05"), std::string::npos) << answer;
  EXPECT_NE(answer.find("not_run"), std::string::npos) << answer;
  EXPECT_EQ(calls, 0);
}

TEST_F(ExchangeStopTest, CallThatEndsInTimeIsAnswered)
{
  ScriptedTarget target([](const std::string& /*aRequest*/, TcpSocket& aSocket) {
    Write(aSocket, Answer(200, "a"));
    return true;
  });
  this->AddTarget("t", target.Address());
  this->Start();
  this->Learn("/once/", std::chrono::seconds(3));
  this->BeginStop(std::chrono::seconds(60));
  this->Call("/once/");
  EXPECT_NE(this->ReceiveAll().find("HTTP/1.1 200"), std::string::npos);
}

TEST_F(ExchangeStopTest, TimesOfCallsAreLearnt)
{
  ScriptedTarget target([](const std::string& /*aRequest*/, TcpSocket& aSocket) {
    std::this_thread::sleep_for(std::chrono::milliseconds(120));
    Write(aSocket, Answer(200, "a"));
    return true;
  });
  this->AddTarget("t", target.Address());
  this->Start();
  this->Call("/once/");
  this->Receive();
  this->BeginStop(std::chrono::milliseconds(100));
  this->Call("/once/");
  EXPECT_NE(this->ReceiveAll().find("HTTP/1.1 503"), std::string::npos);
}

TEST_F(ExchangeStopTest, CallWithoutAnyByteIsAnsweredAtTheLimit)
{
  absl::Notification received;
  ScriptedTarget target([&](const std::string& /*aRequest*/, TcpSocket& /*aSocket*/) {
    received.Notify();
    this->speaks.WaitForNotification();
    return false;
  });
  this->AddTarget("t", target.Address());
  this->Start();
  this->Call("/once/");
  received.WaitForNotification();
  this->BeginStop(std::chrono::seconds(4));
  this->ReachStopLimit();
  const std::string answer = this->ReceiveAll();
  this->speaks.Notify();
  EXPECT_NE(answer.find("HTTP/1.1 504"), std::string::npos) << answer;
  EXPECT_NE(answer.find("this host stopped"), std::string::npos) << answer;
  EXPECT_EQ(answer.find("not_run"), std::string::npos) << answer;
}

TEST_F(ExchangeStopTest, StreamThatHasBegunIsCutOffAtTheLimit)
{
  ScriptedTarget target([this](const std::string& /*aRequest*/, TcpSocket& aSocket) {
    return this->PauseInStream(aSocket);
  });
  this->BeginStreamAt(target);
  this->BeginStop(std::chrono::seconds(4));
  this->ReachStopLimit();
  const std::string rest = this->ReceiveAll();
  this->speaks.Notify();
  EXPECT_EQ(rest.find("0\r\n\r\n"), std::string::npos) << rest;
}

} // namespace
} // namespace damasklink
