// Tests of second tries beside attempts that are slow.
#include "SilentTargetFixture.h"

namespace damasklink {
namespace {

using testing::Answer;
using testing::kService;
using testing::ScriptedTarget;
using testing::Write;

class ExchangeHedgeTest : public testing::SilentTargetFixture
{
protected:
  // Starts with a target and what was learnt of others before: calls of the route take 140 ms.
  void StartAt(const ScriptedTarget& aTarget, const std::string& aRoute)
  {
    this->AddTarget("t", aTarget.Address());
    this->context.hedgePolicy = HedgePolicy(0.2);
    this->context.hedges = HedgeBudgets(0.2, 1);
    this->context.hedges.SetHosts(1);
    this->retries.SetHosts(1);
    this->paths.OnBytes(kService);
    for (int report = 0; report < 20; ++report) {
      this->context.hedgePolicy.ObserveUse(kService, 0);
    }
    for (int call = 0; call < 20; ++call) {
      this->context.hedgePolicy.Observe(HedgeKind{ aRoute, false }, std::chrono::milliseconds(140));
      this->context.hedges.OnCall(kService, this->clock.MonotonicNow());
      this->retries.OnCall(kService);
    }
    this->Start();
  }

  // Sends a call, and makes the other target known before it is hedged.
  void CallAt(const std::string& aRoute, const ScriptedTarget& aOther)
  {
    this->Call(aRoute);
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    this->AddOther(aOther.Address());
  }

  // Waits for the end of a connection.
  bool AwaitEnd(TcpSocket& aSocket)
  {
    char byte = 0;
    IoError error;
    aSocket.read_some(asio::buffer(&byte, 1), error);
    this->closed.Notify();
    return false;
  }

  bool IsClosed() { return this->closed.WaitForNotificationWithTimeout(absl::Seconds(5)); }

  absl::Notification closed;
};

TEST_F(ExchangeHedgeTest, HedgeThatAnswersFirstIsDeliveredAndTheOtherClosed)
{
  ScriptedTarget target(
    [this](const auto&, TcpSocket& aSocket) { return this->AwaitEnd(aSocket); });
  ScriptedTarget other([](const auto&, TcpSocket& aSocket) {
    Write(aSocket, Answer(200, "second"));
    return true;
  });
  this->StartAt(target, "/idempotent/");
  this->CallAt("/idempotent/", other);
  EXPECT_NE(this->Receive().find("second"), std::string::npos);
  EXPECT_TRUE(this->IsClosed());
  EXPECT_EQ(other.Requests().size(), 1U);
}

TEST_F(ExchangeHedgeTest, HedgeThatIsSlowerIsClosed)
{
  ScriptedTarget target([this](const auto&, TcpSocket& aSocket) {
    this->speaks.WaitForNotification();
    Write(aSocket, Answer(200, "first"));
    return true;
  });
  ScriptedTarget other([this](const auto&, TcpSocket& aSocket) {
    this->speaks.Notify();
    return this->AwaitEnd(aSocket);
  });
  this->StartAt(target, "/idempotent/");
  this->CallAt("/idempotent/", other);
  EXPECT_NE(this->Receive().find("first"), std::string::npos);
  EXPECT_TRUE(this->IsClosed());
}

// The head of a stream alone does not decide which of two the caller gets.
TEST_F(ExchangeHedgeTest, FirstEventOfTwoStreamsCounts)
{
  ScriptedTarget target([this](const auto&, TcpSocket& aSocket) {
    Write(aSocket, testing::StreamHead());
    return this->AwaitEnd(aSocket);
  });
  ScriptedTarget other([](const auto&, TcpSocket& aSocket) {
    Write(aSocket, testing::StreamHead() + testing::Event(1) + "0\r\n\r\n");
    return true;
  });
  this->StartAt(target, "/resumable/");
  this->CallAt("/resumable/", other);
  EXPECT_NE(this->ReceiveUpTo("0\r\n\r\n").find("data: 1"), std::string::npos);
  EXPECT_TRUE(this->IsClosed());
}

// Guards against calls that run twice, and streams that nothing can continue.
TEST_F(ExchangeHedgeTest, CallThatMayNotBeRepeatedIsNeverHedged)
{
  ScriptedTarget target([](const auto&, TcpSocket& aSocket) {
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    Write(aSocket, Answer(200, "first"));
    return true;
  });
  ScriptedTarget other([](const auto&, TcpSocket&) { return false; });
  this->StartAt(target, "/once/");
  this->CallAt("/once/", other);
  EXPECT_NE(this->Receive().find("first"), std::string::npos);
  EXPECT_TRUE(other.Requests().empty());
}

} // namespace
} // namespace damasklink
