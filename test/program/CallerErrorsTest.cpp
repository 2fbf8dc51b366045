// Tests faults of callers over real HTTP: wrong calls get an error with the outcome "not_run", and
// a caller that disconnects or stops reading has its prompt cancelled at the engine.
#include <atomic>
#include <thread>

#include <absl/synchronization/mutex.h>
#include <absl/synchronization/notification.h>
#include <absl/time/time.h>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "damasklink/protocol/EngineApi.h"
#include "damasklink/state/Text.h"
#include "damasklink/transport/EngineStream.h"
#include "program/TestHost.h"
#include "support/OwnAddress.h"

namespace damasklink::testing {
namespace {

using ::testing::HasSubstr;
using Json = nlohmann::json;

// A number of tokens whose response exceeds all buffers between engine and caller.
constexpr std::uint64_t kTokensBeyondBuffers = 100'000;
constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kTooLarge = 413;
constexpr int kUnauthenticated = 401;
constexpr int kBadRequest = 400;
constexpr absl::Duration kTestTimeout = absl::Seconds(30);

// An engine that streams tokens until it has sent maxTokens or its caller disconnects.
class EndlessEngine
{
public:
  EndlessEngine()
    : server(
        { Endpoint{ testing::OwnAddress(1), 0 }, 8, ByteCount(kMebibyte), std::chrono::seconds(5) })
  {
    this->server.Route("POST", "/v1/completions", [this](const HttpRequest& aRequest) {
      HttpResponse response;
      response.contentType = "text/event-stream";
      response.stream = [this, prompt = ParseEnginePrompt(aRequest.body).value()](
                          StreamWriter& aWriter) { return this->Answer(prompt, aWriter); };
      return response;
    });
    EXPECT_TRUE(this->server.Start());
  }

  Endpoint Address() const { return this->server.Address(); }

  // Waits until a response was cancelled because its caller disconnected.
  bool WaitForCancel() { return this->cancelled.WaitForNotificationWithTimeout(kTestTimeout); }

private:
  bool Answer(const EnginePrompt& aPrompt, StreamWriter& aWriter)
  {
    AnswerFrame frame;
    frame.attempt = aPrompt.attempt;
    frame.text = std::string(kMebibyte / 16, 'x');
    for (; frame.offset < aPrompt.maxTokens; ++frame.offset) {
      frame.tokens = 1;
      if (!aWriter.Write(Concat("data: ", FormatAnswerFrame(frame), "\n\n"))) {
        this->NotifyCancelled();
        return false;
      }
    }
    frame.tokens = 0;
    frame.text.clear();
    frame.end = true;
    frame.finishReason = "length";
    return aWriter.Write(Concat("data: ", FormatAnswerFrame(frame), "\n\ndata: [DONE]\n\n"));
  }

  void NotifyCancelled()
  {
    if (!this->notified.exchange(true)) {
      this->cancelled.Notify();
    }
  }

  std::atomic<bool> notified{ false };
  absl::Notification cancelled;
  HttpServer server;
};

class CallerErrorsTest : public ::testing::Test
{
protected:
  void SetUp() override
  {
    ASSERT_TRUE(this->host.Start());
    this->callers = this->host.Addresses().callers;
  }
  void TearDown() override { this->host.Stop(); }

  static HostSettings SmallSettings()
  {
    HostSettings settings = SampleSettings();
    settings.limits.requestBody = ByteCount(64 * kKibibyte);
    return settings;
  }

  HttpClientResponse Post(std::string aPath,
                          std::string aBody,
                          const std::string& aKey = kCallerKey)
  {
    return Call(this->callers, "POST", std::move(aPath), aKey, std::move(aBody)).value();
  }

  // Announces the engine and waits until the host routes to it.
  void Announce(const EndlessEngine& aEngine)
  {
    TargetRecord record;
    record.id = TargetId("endless");
    record.zone = ZoneId("hall-north");
    record.endpoint = aEngine.Address();
    record.incarnation = Incarnation(1);
    record.models = { ServedModel{ ModelName("plates-7b"), WeightVersion("v1"), {} } };
    const Endpoint targets = this->host.Addresses().targets;
    std::uint64_t sequence = 0;
    do {
      record.sequence = Sequence(++sequence);
      ASSERT_EQ(
        Call(targets, "POST", "/v1/targets/announce", kTargetKey, FormatTargetRecord(record))
          .value()
          .status,
        kOk);
    } while (this->Post("/v1/completions", Prompt(1)).status != kOk);
  }

  // Sends a prompt and reads the header of its streamed response.
  std::unique_ptr<HttpExchange> OpenStream(std::uint64_t aTokens)
  {
    HttpCall call;
    call.endpoint = this->callers;
    call.method = "POST";
    call.path = "/v1/completions";
    call.headers = { { "authorization", "Bearer " + kCallerKey } };
    call.body = Prompt(aTokens, true);
    auto exchange = std::move(HttpExchange::Connect(call).value());
    EXPECT_TRUE(exchange->Send());
    EXPECT_TRUE(exchange->ReadHeader());
    return exchange;
  }

  static std::string Prompt(std::uint64_t aTokens, bool aStream = false)
  {
    return Json{
      { "model", "plates-7b" }, { "prompt", "x" }, { "max_tokens", aTokens }, { "stream", aStream }
    }.dump();
  }

  HostProcess host{ SmallSettings() };
  Endpoint callers;
};

// Expects an error body in the format of OpenAI's API with the outcome "not_run" and a remedy.
void
ExpectRefusal(const HttpClientResponse& aAnswer, int aStatus, const std::string& aInMessage)
{
  EXPECT_EQ(aAnswer.status, aStatus) << aAnswer.body;
  const Json body = Json::parse(aAnswer.body, nullptr, false);
  ASSERT_TRUE(body.is_object() && body.contains("error")) << aAnswer.body;
  const Json& error = body.at("error");
  EXPECT_EQ(error.at("outcome"), "not_run");
  EXPECT_TRUE(error.at("type").is_string());
  EXPECT_TRUE(error.at("code").is_string());
  EXPECT_THAT(error.at("message").get<std::string>(), HasSubstr(aInMessage));
  EXPECT_THAT(error.at("message").get<std::string>(), HasSubstr("; ")) << "the remedy is missing";
}

TEST_F(CallerErrorsTest, ErrorForMalformedJsonSaysWhatToSend)
{
  const std::string deep(20'000, '[');
  for (const std::string& body : { std::string(), std::string("{"), std::string("[]"), deep }) {
    ExpectRefusal(this->Post("/v1/completions", body), kBadRequest, "JSON object");
    ExpectRefusal(this->Post("/v1/chat/completions", body), kBadRequest, "JSON object");
  }
}

TEST_F(CallerErrorsTest, ErrorForWrongTypeNamesTheField)
{
  const auto refused = [&](const Json& aBody, const std::string& aField) {
    ExpectRefusal(this->Post("/v1/completions", aBody.dump()), kBadRequest, "'" + aField + "'");
  };
  refused({ { "model", 7 }, { "prompt", "x" } }, "model");
  refused({ { "model", "plates-7b" } }, "prompt");
  refused({ { "model", "plates-7b" }, { "prompt", { 1, 2 } } }, "prompt");
  refused({ { "model", "plates-7b" }, { "prompt", "x" }, { "max_tokens", -1 } }, "max_tokens");
  refused({ { "model", "plates-7b" }, { "prompt", "x" }, { "max_tokens", "9" } }, "max_tokens");
  refused({ { "model", "plates-7b" }, { "prompt", "x" }, { "stream", "yes" } }, "stream");
}

TEST_F(CallerErrorsTest, RefusesTooLargeBodyAndKeepsServing)
{
  const std::string huge(kMebibyte, 'x');
  auto answer = Call(this->callers, "POST", "/v1/completions", kCallerKey, huge);
  // The server answers before it has read the body, so the connection may break first.
  if (answer) {
    ExpectRefusal(answer.value(), kTooLarge, "too large");
  }
  EXPECT_EQ(Call(this->callers, "GET", "/v1/models", kCallerKey).value().status, kOk);
}

TEST_F(CallerErrorsTest, RefusesMissingAndWrongKeyAlike)
{
  for (const std::string& key : { std::string(), std::string("wrong"), kOperatorKey }) {
    ExpectRefusal(this->Post("/v1/completions", Prompt(1), key), kUnauthenticated, "key");
    ExpectRefusal(this->Post("/services/plates/jobs", "{}", key), kUnauthenticated, "key");
    ExpectRefusal(Call(this->callers, "GET", "/v1/models", key).value(), kUnauthenticated, "key");
  }
}

TEST_F(CallerErrorsTest, UnknownModelServiceAndPathAreNotFound)
{
  const std::string other = R"({"model": "other-1b", "prompt": "x"})";
  ExpectRefusal(this->Post("/v1/completions", other), kNotFound, "other-1b");
  ExpectRefusal(this->Post("/services/other/jobs", "{}"), kNotFound, "other");
  ExpectRefusal(this->Post("/v1/nothing", "{}"), kNotFound, "no such path");
}

TEST_F(CallerErrorsTest, WrongMethodIsRefused)
{
  ExpectRefusal(
    Call(this->callers, "GET", "/v1/completions", kCallerKey).value(), kNotFound, "no such path");
}

TEST_F(CallerErrorsTest, CancelsPromptAtEngineWhenCallerDisconnects)
{
  EndlessEngine engine;
  this->Announce(engine);
  auto exchange = this->OpenStream(kTokensBeyondBuffers);
  ASSERT_TRUE(exchange->ReadSome());
  exchange.reset();
  EXPECT_TRUE(engine.WaitForCancel());
}

TEST_F(CallerErrorsTest, CancelsPromptWhenCallerStopsReading)
{
  EndlessEngine engine;
  this->Announce(engine);
  auto exchange = this->OpenStream(kTokensBeyondBuffers);
  // The connection stays open but is no longer read, until callerIdle ends it.
  EXPECT_TRUE(engine.WaitForCancel());
}

TEST_F(CallerErrorsTest, SlowCallerGetsCompleteResponse)
{
  EndlessEngine engine;
  this->Announce(engine);
  constexpr std::uint64_t kTokens = 40;
  auto exchange = this->OpenStream(kTokens);
  std::string body;
  while (true) {
    auto chunk = exchange->ReadSome();
    ASSERT_TRUE(chunk) << chunk.error();
    if (chunk.value().empty()) {
      break;
    }
    body += chunk.value();
    // Much slower than the engine writes, so that all buffers in between fill up.
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  EXPECT_THAT(body, ::testing::EndsWith("data: [DONE]\n\n"));
}

} // namespace
} // namespace damasklink::testing
