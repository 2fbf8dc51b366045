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

// Tests of streams that callers resume, with targets of two versions.
class ResumedStreamTest : public testing::ExchangeFixture
{
protected:
  ResumedStreamTest()
  {
    this->AddVersion("old", "v1", this->old.Address());
    for (int number = 0; number < kTargetsOfOtherVersion; ++number) {
      this->AddVersion("new" + std::to_string(number), "v2", this->current.Address());
    }
  }

  ~ResumedStreamTest() override { this->Stop(); }

  void AddVersion(const std::string& aId, const std::string& aSoftware, const Endpoint& aEndpoint)
  {
    this->AddTarget(aId, aEndpoint);
    this->targetUpdates.back().record.software = SoftwareVersion(aSoftware);
  }

  static bool Answer(const std::string& aRequest, TcpSocket& aSocket, const std::string& aSoftware)
  {
    const bool resumed = aRequest.find("Last-Event-Id: 1") != std::string::npos;
    Write(aSocket,
          StreamHead() + Chunk((resumed ? "id: 2\ndata: " : "id: 1\ndata: ") + aSoftware + "\n\n") +
            "0\r\n\r\n");
    return true;
  }

  // Sets the origin that the control host knows of the stream that r0 began.
  void KnowOrigin(const ServiceName& aService, const std::string& aSoftware)
  {
    this->answerLookup = [aService, aSoftware](const StreamOriginRequest& aRequest) {
      StreamOriginResponse response{ aRequest.number, std::nullopt, {}, false };
      if (aRequest.stream == StreamKeyOf(RequestId("r0"))) {
        response.origin = StreamOrigin{
          *aRequest.stream, aService, SoftwareVersion(aSoftware), std::chrono::seconds(9)
        };
      }
      return response;
    };
  }

  void KnowVersions(const std::set<SoftwareVersion>& aVersions, bool aComplete)
  {
    this->answerLookup = [aVersions, aComplete](const StreamOriginRequest& aRequest) {
      return StreamOriginResponse{ aRequest.number, std::nullopt, aVersions, aComplete };
    };
  }

  // Adds a route of prompts, and fills the memory of all targets, so that they take no new prompts.
  void FillMemory()
  {
    this->AddRoute("/resumable/prompts/", CallKind::Streaming, true);
    this->config->routes.back().carriesPrompt = true;
    this->cacheTokens = 1000;
    CallLoad running;
    running.memory = TokenCount(1100);
    for (const TargetUpdate& update : this->targetUpdates) {
      this->picker.OnSent(update.record.id, SelectionRequest{}, running);
    }
  }

  // Divides the route among two services, which have one target each.
  void SplitRoute()
  {
    this->targetUpdates.resize(2);
    this->targetUpdates.back().record.service = ServiceName("other");
    this->splitDocument =
      R"({"version":2,"routes":[{"name":"r","host":"h","path-prefix":"/resumable/",)"
      R"("kind":"streaming","timeout-ms":3600000,"target-latency-ms":20000,"max-attempts":2,)"
      R"("public":true,"resumable":true,"traffic-split":[{"service":"app","weight":1},)"
      R"({"service":"other","weight":1}]}],"services":[{"name":"app"},{"name":"other"}]})";
  }

  // Each service has one version, and the control host has no record of any stream.
  void KnowVersionOfEachService()
  {
    this->answerLookup = [](const StreamOriginRequest& aRequest) {
      const SoftwareVersion only(aRequest.service == testing::kService ? "v1" : "v2");
      return StreamOriginResponse{ aRequest.number, std::nullopt, { only }, true };
    };
  }

  void Resume(const std::string& aFirst = "Resumes: r0\r\n")
  {
    this->Start();
    if (!this->splitDocument.empty()) {
      this->OnLoop(
        [&] { this->state.InstallRoutes(ReadRoutes(this->dialect, this->splitDocument).value()); });
    }
    this->Call("/resumable/", "Last-Event-Id: 1\r\n" + aFirst);
  }

  void ExpectRefused()
  {
    const std::string answer = this->Receive();
    EXPECT_NE(answer.find("HTTP/1.1 503"), std::string::npos) << answer;
    EXPECT_NE(answer.find("not_run"), std::string::npos) << answer;
    // The stream cannot be resumed later either.
    EXPECT_EQ(answer.find("Retry-After"), std::string::npos) << answer;
    EXPECT_TRUE(this->old.Requests().empty());
    EXPECT_TRUE(this->current.Requests().empty());
  }

  std::string splitDocument;
  ScriptedTarget old{ [](const std::string& aRequest, TcpSocket& aSocket) {
    return Answer(aRequest, aSocket, "v1");
  } };
  ScriptedTarget current{ [](const std::string& aRequest, TcpSocket& aSocket) {
    return Answer(aRequest, aSocket, "v2");
  } };
};

// Guards against streams of which callers get events of two software versions over two requests.
TEST_F(ResumedStreamTest, GoesOnAtTheVersionThatBeganIt)
{
  this->KnowOrigin(testing::kService, "v1");
  this->Resume();
  EXPECT_NE(this->ReceiveUpTo("0\r\n\r\n").find("data: v1\n\n"), std::string::npos);
  EXPECT_TRUE(this->current.Requests().empty());
}

TEST_F(ResumedStreamTest, OfUnknownOriginIsRefusedWhileThereAreSeveralVersions)
{
  this->KnowVersions({ SoftwareVersion("v1"), SoftwareVersion("v2") }, true);
  this->Resume();
  this->ExpectRefused();
}

// Guards against a control host that has just started and takes the versions that it has seen so
// far for all.
TEST_F(ResumedStreamTest, OfUnknownOriginIsRefusedUnlessAllVersionsAreKnown)
{
  this->KnowVersions({ SoftwareVersion("v1") }, false);
  this->Resume();
  this->ExpectRefused();
}

// Guards against control hosts that have not heard yet of a version that this host knows.
TEST_F(ResumedStreamTest, OfUnknownOriginIsRefusedIfThisHostKnowsOfAnotherVersion)
{
  this->KnowVersions({ SoftwareVersion("v1") }, true);
  this->Resume();
  this->ExpectRefused();
}

TEST_F(ResumedStreamTest, OfUnknownOriginGoesOnAtTheOnlyVersion)
{
  this->KnowVersions({ SoftwareVersion("v1") }, true);
  this->targetUpdates.resize(1);
  this->Resume();
  EXPECT_NE(this->ReceiveUpTo("0\r\n\r\n").find("data: v1\n\n"), std::string::npos);
}

// Guards against streams of unknown origin that go on at another service than the one that began
// them: each service has one version, but the route does not tell which one it was.
TEST_F(ResumedStreamTest, OfUnknownOriginIsRefusedWhereTheRouteIsDividedAmongServices)
{
  this->SplitRoute();
  this->KnowVersionOfEachService();
  this->Resume();
  this->ExpectRefused();
}

TEST_F(ResumedStreamTest, OfKnownOriginGoesOnWhereTheRouteIsDividedAmongServices)
{
  this->SplitRoute();
  this->KnowOrigin(ServiceName("other"), "v2");
  this->Resume();
  EXPECT_NE(this->ReceiveUpTo("0\r\n\r\n").find("data: v2\n\n"), std::string::npos);
}

TEST_F(ResumedStreamTest, ThatIsNotNamedGoesOnAtTheOnlyVersion)
{
  this->KnowVersions({ SoftwareVersion("v1") }, true);
  this->targetUpdates.resize(1);
  this->Resume("");
  EXPECT_NE(this->ReceiveUpTo("0\r\n\r\n").find("data: v1\n\n"), std::string::npos);
}

TEST_F(ResumedStreamTest, IsRefusedWhereNoTargetOfItsVersionIsLeft)
{
  this->KnowOrigin(testing::kService, "v0");
  this->Resume();
  this->ExpectRefused();
}

// Guards against refusing streams that have begun for a load at which new ones are refused: few
// targets may have their version.
TEST_F(ResumedStreamTest, GoesOnAtATargetThatTakesNoNewStreams)
{
  const std::string prompt = "X-Model: m\r\nX-Token-Usage: 200,10\r\n";
  this->KnowOrigin(testing::kService, "v1");
  this->FillMemory();
  this->Start();
  this->Call("/resumable/prompts/", prompt);
  EXPECT_NE(this->Receive().find("HTTP/1.1 503"), std::string::npos);
  this->Call("/resumable/prompts/", "Last-Event-Id: 1\r\nResumes: r0\r\n" + prompt);
  EXPECT_NE(this->ReceiveUpTo("0\r\n\r\n").find("data: v1\n\n"), std::string::npos);
}

TEST_F(ResumedStreamTest, OfAServiceThatTheRouteNoLongerUsesIsRefused)
{
  this->KnowOrigin(ServiceName("former"), "v1");
  this->Resume();
  this->ExpectRefused();
}

TEST_F(ResumedStreamTest, OriginIsRecordedWithTheFirstEvent)
{
  this->Start();
  this->Call("/resumable/");
  const bool isNew = this->ReceiveUpTo("0\r\n\r\n").find("data: v2\n\n") != std::string::npos;
  this->OnLoop([&] {
    const std::vector<StreamOrigin> origins = this->origins.TakeAdded();
    ASSERT_EQ(origins.size(), 1U);
    EXPECT_EQ(origins[0].stream, StreamKeyOf(RequestId("r1")));
    EXPECT_EQ(origins[0].service, testing::kService);
    EXPECT_EQ(origins[0].software, SoftwareVersion(isNew ? "v2" : "v1"));
    EXPECT_GT(origins[0].keepFor, std::chrono::minutes(59));
  });
}

// A caller that resumes a stream twice names the request that brought the first event both times.
TEST_F(ResumedStreamTest, OriginOfAResumedStreamIsThatOfItsFirstRequest)
{
  this->KnowOrigin(testing::kService, "v1");
  this->Resume();
  this->ReceiveUpTo("0\r\n\r\n");
  this->OnLoop([&] {
    EXPECT_EQ(this->origins.Find(StreamKeyOf(RequestId("r0")))->software, SoftwareVersion("v1"));
  });
}

TEST_F(ResumedStreamTest, StreamsThatCannotBeResumedAreNotRecorded)
{
  this->Start();
  this->Call("/stream/");
  this->ReceiveUpTo("0\r\n\r\n");
  this->OnLoop([&] { EXPECT_EQ(this->origins.Size(), 0U); });
}

} // namespace
} // namespace damasklink
