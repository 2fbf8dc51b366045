#include "ExchangeFixture.h"

namespace damasklink {
namespace {

using testing::Answer;
using testing::ScriptedTarget;
using testing::Write;

class ExchangeChoiceTest : public testing::ExchangeFixture
{};

TEST_F(ExchangeChoiceTest, PromptThatWouldWaitTooLongIsRefusedAtOnce)
{
  ScriptedTarget target([](const std::string&, TcpSocket& aSocket) {
    Write(aSocket, Answer(200, "done"));
    return true;
  });
  this->AddTarget("t", target.Address());
  // Far more than the target reads within the objective of 20 s.
  PickedWork waiting;
  waiting.toRead = TokenCount(100'000'000);
  this->picker.OnSent(TargetId("t"), PickQuestion{}, waiting);
  this->Start();
  this->Call("/prompts/", "X-Model: m\r\nX-Token-Usage: 100,10\r\n");
  const std::string refused = this->Receive();
  EXPECT_NE(refused.find("HTTP/1.1 503"), std::string::npos);
  EXPECT_NE(refused.find("Retry-After: 0.3\r\n"), std::string::npos) << refused;
  EXPECT_NE(refused.find("not_run"), std::string::npos);
  EXPECT_TRUE(target.Requests().empty());
}

TEST_F(ExchangeChoiceTest, PromptThatWouldFillTheMemoryOfItsTargetIsRefusedAtOnce)
{
  ScriptedTarget target([](const std::string&, TcpSocket& aSocket) {
    Write(aSocket, Answer(200, "done"));
    return true;
  });
  this->AddTarget("t", target.Address());
  this->cacheTokens = 1000;
  PickedWork running;
  running.memory = TokenCount(1100);
  this->picker.OnSent(TargetId("t"), PickQuestion{}, running);
  this->Start();
  this->Call("/prompts/", "X-Model: m\r\nX-Token-Usage: 200,10\r\n");
  const std::string refused = this->Receive();
  EXPECT_NE(refused.find("HTTP/1.1 503"), std::string::npos);
  EXPECT_TRUE(target.Requests().empty());
  // The same prompt is taken once there is room.
  this->Call("/prompts/", "X-Model: m\r\nX-Token-Usage: 50,10\r\n");
  EXPECT_NE(this->Receive().find("HTTP/1.1 200"), std::string::npos);
}

} // namespace
} // namespace damasklink
