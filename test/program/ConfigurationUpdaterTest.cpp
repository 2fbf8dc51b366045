#include "program/ConfigurationUpdater.h"

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

// The platform's dialect, whose ReadConfig() blocks until released while `held` is set.
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

// Records the requests that the updater sends.
class RecordedRequests final : public PeerSender
{
public:
  void Send(const HostId& aTo, PeerMessage aMessage) override
  {
    const auto message = DecodeServingMessage(aMessage.payload);
    this->sent.emplace_back(aTo, std::get<DocumentRequest>(message.value()));
  }

  std::vector<std::pair<HostId, DocumentRequest>> sent;
};

class ConfigurationUpdaterTest : public ::testing::Test
{
protected:
  void Announce(const HostId& aHost, std::uint64_t aVersion)
  {
    ServingUpdate update;
    update.documentVersion = Revision(aVersion);
    this->updater.OnUpdate(aHost, update);
  }

  // Answers requests until the updater sends no more.
  void AnswerAll(DocumentPublisher& aSource)
  {
    while (!this->requests.sent.empty()) {
      const auto [host, request] = this->requests.sent.front();
      this->requests.sent.erase(this->requests.sent.begin());
      if (const auto chunk = aSource.Answer(request)) {
        this->updater.OnChunk(host, *chunk);
      }
    }
  }

  void RunUntilInstalled(std::uint64_t aVersion)
  {
    while (this->state.Routes() == nullptr ||
           this->state.Routes()->Config().version != Revision(aVersion)) {
      this->loop.run_one_for(std::chrono::milliseconds(10));
      this->loop.restart();
      this->AnswerAll(this->source);
    }
  }

  asio::io_context loop;
  ManualClock clock;
  SlowDialect dialect;
  EntryHostState state{ this->clock };
  RecordedRequests requests;
  NoMetrics metrics;
  DocumentPublisher source;
  int installed = 0;
  ConfigurationUpdater updater{ this->loop,
                                this->clock,
                                this->dialect,
                                this->state,
                                this->requests,
                                this->metrics,
                                [this] { ++this->installed; } };
};

TEST_F(ConfigurationUpdaterTest, InstallsEachAnnouncedVersion)
{
  this->source.Publish(Revision(3), Document(3, 500));
  this->Announce(kControl, 3);
  this->RunUntilInstalled(3);
  this->source.Publish(Revision(8), Document(8, 501));
  this->Announce(kControl, 8);
  ASSERT_EQ(this->requests.sent.size(), 1U);
  EXPECT_EQ(this->requests.sent.front().second.held, Revision(3));
  this->RunUntilInstalled(8);
  EXPECT_EQ(this->state.Routes()->Config().routes.size(), 501U);
  EXPECT_EQ(this->installed, 2);
}

TEST_F(ConfigurationUpdaterTest, ReadingDocumentDoesNotBlockLoopAndSuspendsRequests)
{
  this->dialect.held = true;
  this->source.Publish(Revision(3), Document(3));
  this->Announce(kControl, 3);
  this->AnswerAll(this->source);
  this->source.Publish(Revision(4), Document(4));
  this->Announce(kControl, 4);
  this->updater.Step();
  EXPECT_TRUE(this->requests.sent.empty());
  bool handled = false;
  asio::post(this->loop, [&] { handled = true; });
  this->loop.poll();
  EXPECT_TRUE(handled);
  EXPECT_EQ(this->state.Routes(), nullptr);
  this->dialect.release.Notify();
  this->loop.restart();
  this->RunUntilInstalled(4);
}

TEST_F(ConfigurationUpdaterTest, FetchesFullDocumentWhenDeltaBaseDiffers)
{
  this->source.Publish(Revision(3), Document(3, 500));
  this->Announce(kControl, 3);
  this->RunUntilInstalled(3);
  // Publishes another text under the version that this host has installed.
  DocumentPublisher other;
  other.Publish(Revision(3), Document(3, 400) + " ");
  other.Publish(Revision(5), Document(5, 400));
  this->Announce(kOther, 5);
  this->AnswerAll(other);
  while (this->requests.sent.empty()) {
    this->loop.run_one_for(std::chrono::milliseconds(10));
    this->loop.restart();
  }
  EXPECT_EQ(this->requests.sent.front().second.held, Revision());
  this->source.Publish(Revision(5), Document(5, 400));
  this->RunUntilInstalled(5);
}

TEST_F(ConfigurationUpdaterTest, UnreadableDocumentKeepsCurrentConfiguration)
{
  this->source.Publish(Revision(3), Document(3));
  this->Announce(kControl, 3);
  this->RunUntilInstalled(3);
  DocumentPublisher broken;
  broken.Publish(Revision(5), "{\"version\":");
  this->Announce(kOther, 5);
  this->AnswerAll(broken);
  this->source.Publish(Revision(6), Document(6));
  this->Announce(kControl, 6);
  this->RunUntilInstalled(6);
  EXPECT_EQ(this->installed, 2);
}

} // namespace
} // namespace damasklink
