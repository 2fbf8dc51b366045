#include "program/StreamOriginResolver.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

const ServiceName kService("s");
const StreamKey kStream(7);
const SoftwareVersion kOld("v1");
const SoftwareVersion kNew("v2");

// Runs lookups on an event loop of its own; control hosts answer by a script.
class StreamOriginResolverTest : public ::testing::Test
{
protected:
  using Answer = std::function<std::optional<StreamOriginResponse>(const HostId& aFrom)>;

  std::optional<StreamOrigin> Resolve(std::optional<StreamKey> aStream = kStream)
  {
    std::optional<StreamOrigin> result;
    const auto run = [&]() -> Awaitable<void> {
      result = co_await this->resolver.Resolve(aStream, kService, this->patience);
    };
    asio::co_spawn(this->loop, run(), asio::detached);
    this->loop.run();
    this->loop.restart();
    return result;
  }

  void OnRequest(const HostId& aTo, const StreamOriginRequest& aRequest)
  {
    ++this->requests;
    std::optional<StreamOriginResponse> response = this->answer(aTo);
    if (!response) {
      return;
    }
    response->number = aRequest.number;
    asio::post(this->loop, [this, aTo, response] { this->resolver.OnResponse(aTo, *response); });
  }

  static StreamOriginResponse Known(const SoftwareVersion& aSoftware)
  {
    const StreamOrigin origin{ kStream, kService, aSoftware, std::chrono::seconds(9) };
    return StreamOriginResponse{ {}, origin, {}, false };
  }

  static StreamOriginResponse Unknown(std::set<SoftwareVersion> aVersions, bool aComplete)
  {
    return StreamOriginResponse{ {}, std::nullopt, std::move(aVersions), aComplete };
  }

  asio::io_context loop{ 1 };
  SystemClock clock;
  StreamOriginTable origins{ this->clock };
  std::vector<HostId> hosts{ HostId("a"), HostId("b"), HostId("c") };
  Answer answer;
  int requests = 0;
  Duration patience = std::chrono::seconds(9);
  StreamOriginResolver resolver{ this->loop,
                                 this->clock,
                                 this->origins,
                                 [this] { return this->hosts; },
                                 [this](const HostId& aTo, const auto& aRequest) {
                                   this->OnRequest(aTo, aRequest);
                                 } };
};

TEST_F(StreamOriginResolverTest, UsesTheOwnRecordWithoutAsking)
{
  this->origins.Add(StreamOrigin{ kStream, kService, kOld, std::chrono::seconds(9) });
  EXPECT_EQ(this->Resolve()->software, kOld);
  EXPECT_EQ(this->requests, 0);
}

TEST_F(StreamOriginResolverTest, OneControlHostThatKnowsTheOriginIsEnough)
{
  this->answer = [](const HostId& aFrom) -> std::optional<StreamOriginResponse> {
    return aFrom == HostId("b") ? std::optional(Known(kNew)) : std::nullopt;
  };
  EXPECT_EQ(this->Resolve()->software, kNew);
}

// Guards against refusing streams whose origin is still on its way to the control hosts.
TEST_F(StreamOriginResolverTest, AsksAgainForAnUnknownOrigin)
{
  this->answer = [this](const HostId&) -> std::optional<StreamOriginResponse> {
    return this->requests > 3 ? Known(kNew) : Unknown({ kOld, kNew }, true);
  };
  EXPECT_EQ(this->Resolve()->software, kNew);
  EXPECT_GT(this->requests, 3);
}

// Guards against refusing streams while control hosts have just started and elect a leader.
TEST_F(StreamOriginResolverTest, WaitsUntilTheOnlyVersionIsCertain)
{
  this->answer = [this](const HostId&) { return Unknown({ kOld }, this->requests > 18); };
  EXPECT_EQ(this->Resolve(std::nullopt)->software, kOld);
  EXPECT_GT(this->requests, 18);
}

TEST_F(StreamOriginResolverTest, TakesNoLongerThanTheCallerAllows)
{
  this->patience = StreamOriginResolver::kLookupInterval;
  this->answer = [](const HostId&) { return Unknown({ kOld }, false); };
  EXPECT_EQ(this->Resolve(std::nullopt), std::nullopt);
  EXPECT_EQ(this->requests, 3);
}

TEST_F(StreamOriginResolverTest, KnowsNothingWithoutControlHosts)
{
  this->hosts.clear();
  EXPECT_EQ(this->Resolve(), std::nullopt);
  EXPECT_EQ(this->requests, 0);
}

TEST_F(StreamOriginResolverTest, AsksOnceForAStreamThatIsNotNamed)
{
  this->answer = [](const HostId&) { return Unknown({ kOld, kNew }, true); };
  EXPECT_EQ(this->Resolve(std::nullopt), std::nullopt);
  EXPECT_EQ(this->requests, 3);
}

} // namespace
} // namespace damasklink
