#include <thread>

#include <absl/synchronization/notification.h>

#include "TrafficFixture.h"

namespace damasklink {
namespace {

const std::string kPrompt = R"({"model":"plates-7b","prompt":"x","stream":true})";

std::string
Event(const EnginePrompt& aPrompt, bool aEnd)
{
  AnswerFrame frame;
  frame.attempt = aPrompt.attempt;
  frame.offset = aEnd ? 1 : 0;
  frame.tokens = aEnd ? 0 : 1;
  frame.text = aEnd ? "" : "first";
  frame.end = aEnd;
  return "data: " + FormatAnswerFrame(frame) + "\n\n";
}

// Has an engine that sends its first token, and the end of the answer only once released.
class DrainTest : public TrafficFixture
{
protected:
  DrainTest()
    : engine([this](const HttpRequest& aRequest) {
      HttpResponse response;
      response.stream = [this,
                         prompt = ParseEnginePrompt(aRequest.body).value()](StreamWriter& aWriter) {
        aWriter.Write(Event(prompt, false));
        while (!this->released.HasBeenNotified()) {
          if (!aWriter.IsOpen()) {
            this->cancelled.Notify();
            return false;
          }
          this->released.WaitForNotificationWithTimeout(absl::Milliseconds(5));
        }
        return aWriter.Write(Event(prompt, true));
      };
      return response;
    })
  {
    this->SetTargets({ this->engine.Record("e-1", TargetKind::Engine) });
  }

  // Starts a streamed answer and waits for its first token.
  void OpenStream()
  {
    this->exchange = std::move(HttpExchange::Connect(MakeCall("/v1/completions", kPrompt)).value());
    ASSERT_TRUE(this->exchange->Send());
    ASSERT_TRUE(this->exchange->ReadHeader());
    this->events = this->exchange->ReadSome().value();
  }

  std::string ReadRest()
  {
    auto chunk = this->exchange->ReadSome();
    while (chunk && !chunk.value().empty()) {
      this->events += chunk.value();
      chunk = this->exchange->ReadSome();
    }
    return this->events;
  }

  absl::Notification released;
  absl::Notification cancelled;
  ScriptedTarget engine;
  std::unique_ptr<HttpExchange> exchange;
  std::string events;
};

TEST_F(DrainTest, CompletesRunningStreamAndRefusesNewRequests)
{
  this->StartHost();
  this->OpenStream();
  std::thread draining([this] { this->traffic.Drain(); });
  HttpClientResponse refused = this->Post("/services/plates/x", "17");
  while (refused.body.find("leaving") == std::string::npos) {
    refused = this->Post("/services/plates/x", "17");
  }
  EXPECT_NE(refused.body.find("\"not_run\""), std::string::npos);
  // Longer than a relay takes to notice a stop (kPollInterval in CompletionRun.cpp).
  EXPECT_FALSE(this->cancelled.WaitForNotificationWithTimeout(absl::Milliseconds(400)));
  this->released.Notify();
  EXPECT_NE(this->ReadRest().find("[DONE]"), std::string::npos);
  draining.join();
}

TEST_F(DrainTest, EndsStreamsWithErrorWhenHurried)
{
  this->StartHost();
  this->OpenStream();
  std::thread draining([this] { this->traffic.Drain(); });
  this->traffic.Hurry();
  const std::string rest = this->ReadRest();
  EXPECT_EQ(rest.find("[DONE]"), std::string::npos);
  EXPECT_NE(rest.find("this host is stopping"), std::string::npos);
  draining.join();
}

// The engine sends without a pause, so the relay never waits for it; it must notice the stop all
// the same.
TEST_F(DrainTest, EndsStreamThatNeverPausesWhenHurried)
{
  const ScriptedTarget streaming([](const HttpRequest& aRequest) {
    HttpResponse response;
    response.stream = [prompt = ParseEnginePrompt(aRequest.body).value()](StreamWriter& aWriter) {
      AnswerFrame frame;
      frame.attempt = prompt.attempt;
      frame.tokens = 1;
      frame.text = "x";
      while (aWriter.Write("data: " + FormatAnswerFrame(frame) + "\n\n")) {
        ++frame.offset;
        absl::SleepFor(absl::Milliseconds(1));
      }
      return false;
    };
    return response;
  });
  this->SetTargets({ streaming.Record("e-1", TargetKind::Engine) });
  this->StartHost();
  this->OpenStream();
  this->traffic.Hurry();
  EXPECT_NE(this->ReadRest().find("this host is stopping"), std::string::npos);
}

TEST_F(DrainTest, EndsStreamsWithErrorAtShutdownLimit)
{
  this->settings.limits.shutdown = std::chrono::milliseconds(50);
  this->StartHost();
  this->OpenStream();
  this->traffic.Drain();
  EXPECT_NE(this->ReadRest().find("this host is stopping"), std::string::npos);
}

} // namespace
} // namespace damasklink
