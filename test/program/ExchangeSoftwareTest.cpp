// Tests of how an Exchange keeps a stream on one software version.
#include "ExchangeFixture.h"

namespace damasklink {
namespace {

using testing::Chunk;
using testing::ScriptedTarget;
using testing::StreamHead;
using testing::Write;

// So many that one of them is chosen, if the choice is free.
constexpr int kTargetsOfOtherVersion = 16;

class ExchangeSoftwareTest : public testing::ExchangeFixture
{
protected:
  ExchangeSoftwareTest()
  {
    this->AddTarget("first", this->first->Address());
    this->targetUpdates.back().record.software = SoftwareVersion("v1");
    this->Start();
  }

  // The targets' scripts may wait for the loop.
  ~ExchangeSoftwareTest() override
  {
    this->first.reset();
    this->Stop();
  }

  void AddVersion(const std::string& aId, const std::string& aSoftware, const Endpoint& aEndpoint)
  {
    TargetUpdate update = this->targetUpdates.front();
    update.record.id = TargetId(aId);
    update.record.endpoint = aEndpoint;
    update.record.software = SoftwareVersion(aSoftware);
    this->TakeUpdate(update);
  }

  // The first target is the only one until it is called.
  bool BreakOff(TcpSocket& aSocket)
  {
    for (int number = 0; number < kTargetsOfOtherVersion; ++number) {
      this->AddVersion("other" + std::to_string(number), "v2", this->other.Address());
    }
    if (this->hasSame) {
      this->AddVersion("same", "v1", this->same.Address());
    }
    Write(aSocket, StreamHead() + Chunk(this->firstBytes));
    return false;
  }

  std::string firstBytes = "id: 1\ndata: v1\n\nid: 2\nda";
  // Whether another target has the version of the first one.
  bool hasSame = true;
  std::unique_ptr<ScriptedTarget> first = std::make_unique<ScriptedTarget>(
    [this](const std::string&, TcpSocket& aSocket) { return this->BreakOff(aSocket); });
  ScriptedTarget same{ [](const std::string&, TcpSocket& aSocket) {
    Write(aSocket, StreamHead() + Chunk("id: 2\ndata: v1\n\n") + "0\r\n\r\n");
    return true;
  } };
  ScriptedTarget other{ [](const std::string&, TcpSocket& aSocket) {
    Write(aSocket, StreamHead() + Chunk("id: 2\ndata: v2\n\n") + "0\r\n\r\n");
    return true;
  } };
};

// Guards against responses that hold events of two software versions.
TEST_F(ExchangeSoftwareTest, InterruptedStreamGoesOnAtTheVersionThatBeganIt)
{
  this->Call("/resumable/");
  const std::string all = this->ReceiveUpTo("0\r\n\r\n");
  EXPECT_NE(all.find("id: 1\ndata: v1\n\n"), std::string::npos) << all;
  EXPECT_NE(all.find("id: 2\ndata: v1\n\n"), std::string::npos) << all;
  EXPECT_TRUE(this->other.Requests().empty());
}

TEST_F(ExchangeSoftwareTest, InterruptedStreamIsCutOffWhereNoTargetOfItsVersionIsLeft)
{
  this->hasSame = false;
  this->Call("/resumable/");
  const std::string all = this->ReceiveAll();
  EXPECT_NE(all.find("id: 1\ndata: v1\n\n"), std::string::npos) << all;
  EXPECT_EQ(all.find("0\r\n\r\n"), std::string::npos);
  EXPECT_TRUE(this->other.Requests().empty());
}

TEST_F(ExchangeSoftwareTest, StreamWithoutAnyEventMayBeginAtAnotherVersion)
{
  this->firstBytes = "id: 1\nda";
  this->hasSame = false;
  this->Call("/resumable/");
  const std::string all = this->ReceiveUpTo("0\r\n\r\n");
  EXPECT_NE(all.find("data: v2\n\n"), std::string::npos) << all;
}

} // namespace
} // namespace damasklink
