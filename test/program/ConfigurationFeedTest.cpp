#include "program/ConfigurationFeed.h"

#include <absl/synchronization/notification.h>
#include <gtest/gtest.h>

#include "damasklink/coordination/DocumentPublisher.h"
#include "damasklink/protocol/ServingCodec.h"
#include "platform/Dialect.h"

namespace damasklink {
namespace {

const HostId kControl("control-1");
const HostId kOther("control-2");

std::string
Document(std::uint64_t aVersion, std::size_t aRoutes = 0)
{
  std::string routes;
  for (std::size_t index = 0; index < aRoutes; ++index) {
    routes += std::string(index == 0 ? "" : ",") + R"({"name":"r","host":"h","path-prefix":"/)" +
              std::to_string(index) + R"(/","kind":"idempotent","timeout-ms":1,"service":"s"})";
  }
  return "{\"version\":" + std::to_string(aVersion) + ",\"routes\":[" + routes + "]}";
}

// Reads like the platform's, once it may.
class SlowDialect final : public ControlDialect
{
public:
  Result<ControlCall> ReadControlCall(const HttpRequestMessage& aRequest) const override
  {
    return this->dialect.ReadControlCall(aRequest);
  }
  Result<ServingConfig> ReadConfig(std::string_view aDocument) const override
  {
    if (this->held) {
      this->release.WaitForNotification();
    }
    return this->dialect.ReadConfig(aDocument);
  }
  HttpResponseMessage Acknowledgement() const override { return this->dialect.Acknowledgement(); }
  HttpResponseMessage DocumentResponse(std::string_view aDocument) const override
  {
    return this->dialect.DocumentResponse(aDocument);
  }
  HttpResponseMessage RefusedRequestsResponse(const RefusedRequests& aRefused) const override
  {
    return this->dialect.RefusedRequestsResponse(aRefused);
  }
  HttpResponseMessage EvacuationResponse(const EvacuationRegistry& aEvacuations) const override
  {
    return this->dialect.EvacuationResponse(aEvacuations);
  }
  HttpResponseMessage ControlErrorResponse(const Error& aError) const override
  {
    return this->dialect.ControlErrorResponse(aError);
  }

  std::atomic<bool> held{ false };
  mutable absl::Notification release;

private:
  platform::Dialect dialect;
};

// Keeps what the feed asks.
class Questions final : public PeerSender
{
public:
  void Send(const HostId& aTo, PeerMessage aMessage) override
  {
    const auto message = DecodeServingMessage(aMessage.payload);
    this->asked.emplace_back(aTo, std::get<DocumentRequest>(message.value()));
  }

  std::vector<std::pair<HostId, DocumentRequest>> asked;
};

class ConfigurationFeedTest : public ::testing::Test
{
protected:
  void Announce(const HostId& aHost, std::uint64_t aVersion)
  {
    ServingUpdate told;
    told.documentVersion = Revision(aVersion);
    this->feed.OnPicture(aHost, told);
  }

  // Answers all questions until none comes any more and nothing is being read.
  void AnswerAll(DocumentPublisher& aSource)
  {
    while (!this->questions.asked.empty()) {
      const auto [host, question] = this->questions.asked.front();
      this->questions.asked.erase(this->questions.asked.begin());
      if (const auto piece = aSource.Answer(question)) {
        this->feed.OnPiece(host, *piece);
      }
    }
  }

  void RunUntilInForce(std::uint64_t aVersion)
  {
    while (this->picture.Routes() == nullptr ||
           this->picture.Routes()->Config().version != Revision(aVersion)) {
      this->loop.run_one_for(std::chrono::milliseconds(10));
      this->loop.restart();
      this->AnswerAll(this->source);
    }
  }

  asio::io_context loop;
  ManualClock clock;
  SlowDialect dialect;
  EntryPicture picture{ this->clock };
  Questions questions;
  NoMetrics metrics;
  DocumentPublisher source;
  int inForce = 0;
  ConfigurationFeed feed{ this->loop,
                          this->clock,
                          this->dialect,
                          this->picture,
                          this->questions,
                          this->metrics,
                          [this] { ++this->inForce; } };
};

TEST_F(ConfigurationFeedTest, EachVersionThatIsAnnouncedComesIntoForce)
{
  this->source.Publish(Revision(3), Document(3, 500));
  this->Announce(kControl, 3);
  this->RunUntilInForce(3);
  this->source.Publish(Revision(8), Document(8, 501));
  this->Announce(kControl, 8);
  ASSERT_EQ(this->questions.asked.size(), 1U);
  EXPECT_EQ(this->questions.asked.front().second.held, Revision(3));
  this->RunUntilInForce(8);
  EXPECT_EQ(this->picture.Routes()->Config().routes.size(), 501U);
  EXPECT_EQ(this->inForce, 2);
}

TEST_F(ConfigurationFeedTest, TheLoopGoesOnWhileADocumentIsReadAndNothingIsAskedTwice)
{
  this->dialect.held = true;
  this->source.Publish(Revision(3), Document(3));
  this->Announce(kControl, 3);
  this->AnswerAll(this->source);
  this->source.Publish(Revision(4), Document(4));
  this->Announce(kControl, 4);
  this->feed.Step();
  EXPECT_TRUE(this->questions.asked.empty());
  bool passed = false;
  asio::post(this->loop, [&] { passed = true; });
  this->loop.poll();
  EXPECT_TRUE(passed);
  EXPECT_EQ(this->picture.Routes(), nullptr);
  this->dialect.release.Notify();
  this->loop.restart();
  this->RunUntilInForce(4);
}

TEST_F(ConfigurationFeedTest, WhatWasPackedAgainstAnotherTextIsFetchedWhole)
{
  this->source.Publish(Revision(3), Document(3, 500));
  this->Announce(kControl, 3);
  this->RunUntilInForce(3);
  // Holds another text under the version that this host holds.
  DocumentPublisher strange;
  strange.Publish(Revision(3), Document(3, 400) + " ");
  strange.Publish(Revision(5), Document(5, 400));
  this->Announce(kOther, 5);
  this->AnswerAll(strange);
  while (this->questions.asked.empty()) {
    this->loop.run_one_for(std::chrono::milliseconds(10));
    this->loop.restart();
  }
  EXPECT_EQ(this->questions.asked.front().second.held, Revision());
  this->source.Publish(Revision(5), Document(5, 400));
  this->RunUntilInForce(5);
}

TEST_F(ConfigurationFeedTest, UnreadableDocumentLeavesWhatIsInForce)
{
  this->source.Publish(Revision(3), Document(3));
  this->Announce(kControl, 3);
  this->RunUntilInForce(3);
  DocumentPublisher broken;
  broken.Publish(Revision(5), "{\"version\":");
  this->Announce(kOther, 5);
  this->AnswerAll(broken);
  this->source.Publish(Revision(6), Document(6));
  this->Announce(kControl, 6);
  this->RunUntilInForce(6);
  EXPECT_EQ(this->inForce, 2);
}

} // namespace
} // namespace damasklink
