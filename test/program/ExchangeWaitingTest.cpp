#include "ExchangeFixture.h"

namespace damasklink {
namespace {

using testing::Answer;
using testing::kService;
using testing::ScriptedTarget;
using testing::Write;

constexpr const char* kPrompt = "X-Model: m\r\nX-Token-Usage: 200,10\r\n";

// Load: the memory of the only target is full, and most targets are loaded.
class ExchangeWaitingTest : public testing::ExchangeFixture
{
protected:
  ExchangeWaitingTest()
  {
    this->AddTarget("t", this->target.Address());
    this->cacheTokens = 1000;
    this->running.memory = TokenCount(1100);
    this->picker.OnSent(TargetId("t"), SelectionRequest{}, this->running);
    this->context.crowded.insert(kService);
  }

  ~ExchangeWaitingTest() override { this->Stop(); }

  // Returns once a call waits.
  void AwaitWaiting()
  {
    bool waits = false;
    while (!waits) {
      waits = this->OnLoop<bool>([this] { return this->room.Count() > 0; });
    }
  }

  template<typename T, typename Function>
  T OnLoop(Function aFunction)
  {
    absl::Notification done;
    T result{};
    asio::post(this->loop, [&] {
      result = aFunction();
      done.Notify();
    });
    done.WaitForNotification();
    return result;
  }

  ScriptedTarget target{ [](const std::string&, TcpSocket& aSocket) {
    Write(aSocket, Answer(200, "done"));
    return true;
  } };
  CallLoad running;
};

TEST_F(ExchangeWaitingTest, CallBeginsOnceTheTargetHasRoom)
{
  this->Start();
  this->Call("/prompts/", kPrompt);
  this->AwaitWaiting();
  this->OnLoop<bool>([this] {
    this->picker.OnEnd(TargetId("t"), this->running);
    this->room.OnRoomFreed();
    return true;
  });
  EXPECT_NE(this->Receive().find("HTTP/1.1 200"), std::string::npos);
  EXPECT_EQ(this->target.Requests().size(), 1U);
}

TEST_F(ExchangeWaitingTest, StoppingHostRefusesWaitingCallsAtOnce)
{
  this->Start();
  this->Call("/prompts/", kPrompt);
  this->AwaitWaiting();
  this->OnLoop<bool>([this] {
    this->context.shuttingDown = true;
    this->room.EndAll();
    return true;
  });
  const std::string refused = this->Receive();
  EXPECT_NE(refused.find("HTTP/1.1 503"), std::string::npos);
  EXPECT_NE(refused.find("not_run"), std::string::npos);
  EXPECT_NE(refused.find("Retry-After"), std::string::npos);
  EXPECT_TRUE(this->target.Requests().empty());
}

TEST_F(ExchangeWaitingTest, CallerThatLeavesFreesItsPlace)
{
  this->Start();
  this->Call("/prompts/", kPrompt);
  this->AwaitWaiting();
  this->caller.close();
  while (this->OnLoop<std::size_t>([this] { return this->room.Count(); }) > 0) {
  }
  EXPECT_TRUE(this->target.Requests().empty());
}

} // namespace
} // namespace damasklink
