// Tests of calls that an Exchange hands to another entry host: the second host's CallForwarder runs
// on the same event loop.
#include "ExchangeFixture.h"
#include "support/OwnAddress.h"

namespace damasklink {
namespace {

using testing::Chunk;
using testing::FreeEndpoint;
using testing::OwnAddress;
using testing::ScriptedTarget;
using testing::StreamHead;
using testing::Write;

// Returns settings of a host with an address of its own on the given forwarding port.
ServingSettings
HostSettings(int aNumber, std::uint16_t aPort)
{
  ServingSettings settings;
  settings.host = HostId(OwnAddress(aNumber));
  settings.forwardingPort = aPort;
  settings.regions = { { ZoneId("n"), RegionId("north") }, { ZoneId("s"), RegionId("south") } };
  return settings;
}

class ExchangeForwardingTest : public testing::ExchangeFixture
{
protected:
  ExchangeForwardingTest()
    : ExchangeFixture(HostSettings(1, FreeEndpoint(OwnAddress(1)).port))
  {
    EXPECT_TRUE(this->forwarder.Listen());
    EXPECT_TRUE(this->otherForwarder.Listen());
    this->forwarder.SetHosts({ { this->otherSettings.host, ZoneId("n") } });
    this->AddTarget("t", this->target->Address());
    this->targetUpdates.back().record.software = SoftwareVersion("v1");
  }

  // The target's script may wait for the loop.
  ~ExchangeForwardingTest() override
  {
    this->target.reset();
    this->Stop();
  }

  // The last probe of the service reached no target.
  void LoseService()
  {
    this->paths.BeginProbe(testing::kService);
    this->paths.EndProbe(testing::kService, false);
  }

  std::optional<DeclineReason> TakeForwarded(ForwardedCall& aCall,
                                             const std::shared_ptr<ForwardedCaller>& aCaller)
  {
    absl::MutexLock lock(&this->mutex);
    this->taken.push_back(aCall);
    if (!this->declined) {
      asio::co_spawn(this->loop, this->Respond(aCaller), asio::detached);
    }
    return this->declined;
  }

  Awaitable<void> Respond(std::shared_ptr<ForwardedCaller> aCaller)
  {
    HttpResponseMessage response = this->response;
    if (this->streams) {
      if (this->streamsOn) {
        aCaller->SetStreamSoftware(*this->streamsOn);
      }
      co_await aCaller->BeginStream(response.head, response.body, false);
      co_await aCaller->EndStream();
    } else {
      co_await aCaller->WriteWhole(std::move(response), false);
    }
    aCaller->Close();
  }

  std::vector<ForwardedCall> Taken()
  {
    absl::MutexLock lock(&this->mutex);
    return this->taken;
  }

  bool Answer(const std::string& aRequest, TcpSocket& aSocket)
  {
    if (aRequest.find("/once/") == std::string::npos) {
      Write(aSocket, StreamHead() + Chunk("id: 1\ndata: a\n\n"));
    }
    this->OnLoop([this] { this->LoseService(); });
    return false;
  }

  // Breaks streams off after an event, and other calls before the answer.
  std::unique_ptr<ScriptedTarget> target =
    std::make_unique<ScriptedTarget>([this](const std::string& aRequest, TcpSocket& aSocket) {
      return this->Answer(aRequest, aSocket);
    });
  absl::Mutex mutex;
  std::vector<ForwardedCall> taken;
  // What the other host does with calls.
  std::optional<DeclineReason> declined;
  HttpResponseMessage response{ HttpResponseHead{ 200, {} }, "served elsewhere" };
  bool streams = false;
  // The software version that the other host states for its streams.
  std::optional<SoftwareVersion> streamsOn = SoftwareVersion("v1");
  ServingSettings otherSettings = HostSettings(2, this->settings.forwardingPort);
  CallForwarder otherForwarder{ this->loop,
                                this->clock,
                                this->otherSettings,
                                this->metrics,
                                this->memory,
                                2,
                                [this](const auto&, auto& aCall, const auto& aCaller) {
                                  return this->TakeForwarded(aCall, aCaller);
                                } };
};

// Guards against hosts that refuse calls because they reach no target, while other hosts do.
TEST_F(ExchangeForwardingTest, CallOfUnreachableServiceIsServedByAnotherHost)
{
  this->LoseService();
  this->Start();
  this->Call("/idempotent/");
  const std::string answer = this->Receive();
  EXPECT_NE(answer.find("HTTP/1.1 200"), std::string::npos) << answer;
  EXPECT_NE(answer.find("served elsewhere"), std::string::npos);
  ASSERT_EQ(this->Taken().size(), 1U);
  EXPECT_EQ(this->Taken()[0].service, testing::kService);
  EXPECT_EQ(this->Taken()[0].configuration, Revision(1));
  EXPECT_TRUE(this->target->Requests().empty());
}

TEST_F(ExchangeForwardingTest, CallOfReachableServiceIsNotForwarded)
{
  this->Start();
  this->Call("/stream/");
  EXPECT_NE(this->ReceiveUpTo("data: a\n\n").find("HTTP/1.1 200"), std::string::npos);
  EXPECT_TRUE(this->Taken().empty());
}

// Guards against calls that leave the regions in which they may be processed on the way to another
// host.
TEST_F(ExchangeForwardingTest, HostOutsideTheAllowedRegionsGetsNoCall)
{
  this->forwarder.SetHosts({ { this->otherSettings.host, ZoneId("s") } });
  this->allowedRegions = R"("north")";
  this->LoseService();
  this->Start();
  this->Call("/idempotent/");
  EXPECT_NE(this->Receive().find("HTTP/1.1 503"), std::string::npos);
  EXPECT_TRUE(this->Taken().empty());
}

TEST_F(ExchangeForwardingTest, HostInTheAllowedRegionsGetsTheCall)
{
  this->allowedRegions = R"("north")";
  this->LoseService();
  this->Start();
  this->Call("/idempotent/");
  EXPECT_NE(this->Receive().find("HTTP/1.1 200"), std::string::npos);
}

TEST_F(ExchangeForwardingTest, InterruptedStreamIsResumedByAnotherHost)
{
  this->streams = true;
  this->response.body = "id: 2\ndata: b\n\n";
  this->Start();
  this->Call("/resumable/");
  const std::string all = this->ReceiveUpTo("0\r\n\r\n");
  EXPECT_NE(all.find("id: 1\ndata: a\n\n"), std::string::npos) << all;
  EXPECT_NE(all.find("id: 2\ndata: b\n\n"), std::string::npos) << all;
  EXPECT_EQ(all.find("HTTP/1.1", 1), std::string::npos);
  ASSERT_EQ(this->Taken().size(), 1U);
  EXPECT_EQ(this->Taken()[0].lastEvent, 1U);
  EXPECT_EQ(this->Taken()[0].software, SoftwareVersion("v1"));
}

// Guards against streams that another host goes on with at another software version.
TEST_F(ExchangeForwardingTest, StreamOfAnotherVersionOfAnotherHostIsNotPassedOn)
{
  this->streams = true;
  this->streamsOn = SoftwareVersion("v2");
  this->response.body = "id: 2\ndata: b\n\n";
  this->Start();
  this->Call("/resumable/");
  const std::string all = this->ReceiveAll();
  EXPECT_NE(all.find("id: 1\ndata: a\n\n"), std::string::npos) << all;
  EXPECT_EQ(all.find("data: b"), std::string::npos) << all;
  EXPECT_EQ(all.find("0\r\n\r\n"), std::string::npos);
}

TEST_F(ExchangeForwardingTest, StreamOfAHostThatStatesNoVersionIsNotPassedOn)
{
  this->streams = true;
  this->streamsOn = std::nullopt;
  this->response.body = "id: 2\ndata: b\n\n";
  this->Start();
  this->Call("/resumable/");
  EXPECT_EQ(this->ReceiveAll().find("data: b"), std::string::npos);
}

// Guards against a stream of which another host runs the beginning again.
TEST_F(ExchangeForwardingTest, InterruptedStreamThatCannotBeResumedIsNotForwarded)
{
  this->Start();
  this->Call("/stream/");
  const std::string all = this->ReceiveAll();
  EXPECT_NE(all.find("data: a\n\n"), std::string::npos) << all;
  EXPECT_EQ(all.find("0\r\n\r\n"), std::string::npos);
  EXPECT_TRUE(this->Taken().empty());
}

TEST_F(ExchangeForwardingTest, CallThatAllHostsDeclineIsRefusedAsNotRun)
{
  this->declined = DeclineReason::Unreachable;
  this->LoseService();
  this->Start();
  this->Call("/once/");
  const std::string answer = this->Receive();
  EXPECT_NE(answer.find("HTTP/1.1 503"), std::string::npos) << answer;
  EXPECT_NE(answer.find("not_run"), std::string::npos);
  EXPECT_EQ(this->Taken().size(), 1U);
}

// Guards against calls that wait for a host that stands still while another one could run them.
TEST_F(ExchangeForwardingTest, RepeatableCallOfASilentHostGoesOnAtAnother)
{
  const HostId silent(OwnAddress(3));
  TcpAcceptor acceptor(
    this->loop, TcpEndpoint(asio::ip::make_address(silent.Value()), this->settings.forwardingPort));
  this->forwarder.SetHosts({ { silent, ZoneId("n") } });
  this->LoseService();
  this->Start();
  this->Call("/idempotent/");
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  this->OnLoop([&] {
    this->forwarder.SetHosts(
      { { silent, ZoneId("n") }, { this->otherSettings.host, ZoneId("n") } });
  });
  const std::string answer = this->Receive();
  EXPECT_NE(answer.find("HTTP/1.1 200"), std::string::npos) << answer;
  EXPECT_EQ(this->Taken().size(), 1U);
}

// Guards against two hosts that run the same call: the first one's part may have run.
TEST_F(ExchangeForwardingTest, CallThatMayRunOnceIsNotForwardedAfterItWasSent)
{
  this->Start();
  this->Call("/once/");
  const std::string answer = this->Receive();
  EXPECT_NE(answer.find("HTTP/1.1 502"), std::string::npos) << answer;
  EXPECT_TRUE(this->Taken().empty());
}

} // namespace
} // namespace damasklink
