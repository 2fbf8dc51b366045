#include "ExchangeFixture.h"

namespace damasklink {
namespace {

using testing::Answer;
using testing::ScriptedTarget;
using testing::Write;

class ExchangeRoutingTest : public testing::ExchangeFixture
{};

TEST_F(ExchangeRoutingTest, RefusesPromptWithTooLongExpectedWait)
{
  ScriptedTarget target([](const std::string&, TcpSocket& aSocket) {
    Write(aSocket, Answer(200, "done"));
    return true;
  });
  this->AddTarget("t", target.Address());
  // Far more than the target can prefill within the objective of 20 s.
  CallLoad waiting;
  waiting.uncachedTokens = TokenCount(100'000'000);
  this->picker.OnSent(TargetId("t"), SelectionRequest{}, waiting);
  this->Start();
  this->Call("/prompts/", "X-Model: m\r\nX-Token-Usage: 100,10\r\n");
  const std::string refused = this->Receive();
  EXPECT_NE(refused.find("HTTP/1.1 503"), std::string::npos);
  EXPECT_NE(refused.find("Retry-After: 0.3\r\n"), std::string::npos) << refused;
  EXPECT_NE(refused.find("not_run"), std::string::npos);
  EXPECT_TRUE(target.Requests().empty());
}

TEST_F(ExchangeRoutingTest, RefusesPromptThatExceedsMemoryOfTarget)
{
  ScriptedTarget target([](const std::string&, TcpSocket& aSocket) {
    Write(aSocket, Answer(200, "done"));
    return true;
  });
  this->AddTarget("t", target.Address());
  this->cacheTokens = 1000;
  CallLoad running;
  running.memory = TokenCount(1100);
  this->picker.OnSent(TargetId("t"), SelectionRequest{}, running);
  this->Start();
  this->Call("/prompts/", "X-Model: m\r\nX-Token-Usage: 200,10\r\n");
  const std::string refused = this->Receive();
  EXPECT_NE(refused.find("HTTP/1.1 503"), std::string::npos);
  EXPECT_TRUE(target.Requests().empty());
  // A shorter prompt fits into the memory.
  this->Call("/prompts/", "X-Model: m\r\nX-Token-Usage: 50,10\r\n");
  EXPECT_NE(this->Receive().find("HTTP/1.1 200"), std::string::npos);
}

TEST_F(ExchangeRoutingTest, RefusesNoPromptWhileOneTargetHasRoom)
{
  ScriptedTarget target([](const std::string&, TcpSocket& aSocket) {
    Write(aSocket, Answer(200, "done"));
    return true;
  });
  this->cacheTokens = 1000;
  CallLoad running;
  running.memory = TokenCount(1100);
  for (int index = 0; index < 60; ++index) {
    const std::string id = "t" + std::to_string(index);
    this->AddTarget(id, target.Address());
    if (index != 37) {
      this->picker.OnSent(TargetId(id), SelectionRequest{}, running);
    }
  }
  this->Start();
  for (int call = 0; call < 20; ++call) {
    this->Call("/prompts/", "X-Model: m\r\nX-Token-Usage: 50,10\r\n");
    EXPECT_NE(this->Receive().find("HTTP/1.1 200"), std::string::npos);
  }
}

// Guards against brittle targets that fail because they have to reject one request after another.
TEST_F(ExchangeRoutingTest, BrittleTargetThatRejectedIsSentNothingMore)
{
  ScriptedTarget target([](const std::string& aRequest, TcpSocket& aSocket) {
    const std::string brittle = "Server-Brittle: 3\r\n";
    const bool first = aRequest.find("/idempotent/first") != std::string::npos;
    Write(aSocket,
          first ? Answer(200, "done", brittle)
                : Answer(503, "", brittle + "X-Not-Executed: 1\r\n"));
    return true;
  });
  this->AddTarget("t", target.Address());
  this->targetUpdates.back().record.load.slots = 1;
  this->Start();
  this->Call("/idempotent/first");
  EXPECT_NE(this->Receive().find("HTTP/1.1 200"), std::string::npos);
  for (int call = 0; call < 5; ++call) {
    this->Call("/idempotent/");
    EXPECT_NE(this->Receive().find("HTTP/1.1 503"), std::string::npos);
  }
  EXPECT_EQ(target.Requests().size(), 2U);
}

class ExchangeZonesTest : public testing::ExchangeFixture
{
protected:
  ExchangeZonesTest()
  {
    this->settings.regions = { { ZoneId("n"), RegionId("north") },
                               { ZoneId("s"), RegionId("south") } };
    this->AddTarget("near", this->near.Address(), ZoneId("n"));
    this->AddTarget("far", this->far.Address(), ZoneId("s"));
  }

  static bool AnswerOk(const std::string&, TcpSocket& aSocket)
  {
    Write(aSocket, Answer(200, "done"));
    return true;
  }

  std::string CallOnce()
  {
    this->Call("/idempotent/");
    return this->Receive();
  }

  void Evacuate(std::uint64_t aRevision, const std::set<ZoneId>& aZones)
  {
    ServingUpdate update;
    update.evacuated = EvacuatedZones{ aRevision, aZones };
    asio::post(this->loop, [this, update] { this->state.Apply(HostId("control"), update); });
  }

  ScriptedTarget near{ AnswerOk };
  ScriptedTarget far{ AnswerOk };
};

TEST_F(ExchangeZonesTest, SendsNothingToEvacuatedZone)
{
  this->Start();
  this->Evacuate(1, { ZoneId("n") });
  for (int call = 0; call < 20; ++call) {
    EXPECT_NE(this->CallOnce().find("HTTP/1.1 200"), std::string::npos);
  }
  EXPECT_TRUE(this->near.Requests().empty());
  EXPECT_EQ(this->far.Requests().size(), 20U);
}

TEST_F(ExchangeZonesTest, RefusesCallsWhenAllZonesAreEvacuated)
{
  this->Start();
  this->Evacuate(1, { ZoneId("n"), ZoneId("s") });
  const std::string refused = this->CallOnce();
  EXPECT_NE(refused.find("HTTP/1.1 503"), std::string::npos);
  EXPECT_NE(refused.find("not_run"), std::string::npos);
  EXPECT_TRUE(this->near.Requests().empty());
  EXPECT_TRUE(this->far.Requests().empty());
}

TEST_F(ExchangeZonesTest, KeepsCallsInAllowedRegionsOfRoute)
{
  this->allowedRegions = R"("south")";
  this->Start();
  for (int call = 0; call < 20; ++call) {
    EXPECT_NE(this->CallOnce().find("HTTP/1.1 200"), std::string::npos);
  }
  EXPECT_TRUE(this->near.Requests().empty());
}

TEST_F(ExchangeZonesTest, RefusesCallsWithoutTargetInAllowedRegions)
{
  this->allowedRegions = R"("south")";
  this->Start();
  this->Evacuate(1, { ZoneId("s") });
  EXPECT_NE(this->CallOnce().find("HTTP/1.1 503"), std::string::npos);
  EXPECT_TRUE(this->near.Requests().empty());
}

TEST_F(ExchangeZonesTest, RefusesCallsWhenNoZoneIsAllowed)
{
  this->allowedRegions = R"("elsewhere")";
  this->Start();
  const std::string refused = this->CallOnce();
  EXPECT_NE(refused.find("HTTP/1.1 403"), std::string::npos);
  EXPECT_NE(refused.find("allowed region"), std::string::npos);
}

TEST_F(ExchangeZonesTest, CacheScopeContainsAllowedRegions)
{
  this->allowedRegions = R"("south")";
  this->Start();
  this->Call("/prompts/", "X-Model: m\r\nX-Token-Usage: 100,10\r\n");
  EXPECT_NE(this->Receive().find("HTTP/1.1 200"), std::string::npos);
  EXPECT_NE(this->far.Requests().at(0).find("X-Cache-Salt: m/0/;south\r\n"), std::string::npos);
}

TEST_F(ExchangeZonesTest, AvoidsColdTargetWithoutShareWhileOthersHaveRoom)
{
  TargetRecord cold;
  cold.id = TargetId("near");
  this->limits.OnCold(cold, std::chrono::seconds(60));
  this->Start();
  for (int call = 0; call < 20; ++call) {
    EXPECT_NE(this->CallOnce().find("HTTP/1.1 200"), std::string::npos);
  }
  EXPECT_TRUE(this->near.Requests().empty());
}

// When a third of a zone's targets crash, their hosts still refuse connections. The zone must not
// count as unreachable then: its other targets would idle while those elsewhere are overloaded.
TEST_F(ExchangeZonesTest, RefusedConnectionsDoNotMakeZoneUnreachable)
{
  std::vector<Endpoint> ended;
  {
    std::vector<TcpAcceptor> probes;
    for (int port = 0; port < 6; ++port) {
      probes.push_back(testing::ListenOnFreePort(this->callerLoop));
      ended.push_back(testing::AddressOf(probes.back()));
    }
  }
  for (const Endpoint& address : ended) {
    this->AddTarget("ended-" + std::to_string(address.port), address, ZoneId("n"));
  }
  this->Start();
  for (int call = 0; call < 20; ++call) {
    this->CallOnce();
    EXPECT_FALSE(this->reachability.IsUnreachable(ZoneId("n"))) << "after call " << call;
  }
}

} // namespace
} // namespace damasklink
