#include "CompletionRelay.h"

#include <absl/synchronization/notification.h>

#include "TrafficFixture.h"

namespace damasklink {
namespace {

constexpr std::uint64_t kLength = 10;
const std::string kWholeText = "0,1,2,3,4,5,6,7,8,9,";

// How a scripted engine answers one call.
struct Behaviour
{
  // Tokens after which the connection is closed; all of them by default.
  std::uint64_t tokens = kLength;
  bool endMark = true;
  // Sends each frame twice, and before it a frame of another attempt.
  bool noisy = false;
  // Offset of a token that is left out.
  std::uint64_t skipped = kLength;
  bool refuses = false;
};

// An engine that answers its calls by a script. The last behaviour is used for all further calls.
class ScriptedEngine
{
public:
  explicit ScriptedEngine(std::vector<Behaviour> aScript)
    : script(std::move(aScript))
    , target([this](const HttpRequest& aRequest) { return this->Answer(aRequest); })
  {
  }

  TargetRecord Record(const std::string& aId) const
  {
    return this->target.Record(aId, TargetKind::Engine);
  }

  // Called at each call, if set. To be set before the first call.
  std::function<void()> onCall;

  // Returns the received prompts in order.
  std::vector<EnginePrompt> Prompts() const
  {
    absl::MutexLock lock(&this->mutex);
    return this->prompts;
  }

private:
  HttpResponse Answer(const HttpRequest& aRequest)
  {
    const EnginePrompt prompt = ParseEnginePrompt(aRequest.body).value();
    if (this->onCall) {
      this->onCall();
    }
    absl::MutexLock lock(&this->mutex);
    const std::size_t call = std::min(this->prompts.size(), this->script.size() - 1);
    const Behaviour behaviour = this->script[call];
    this->prompts.push_back(prompt);
    HttpResponse response;
    response.status = behaviour.refuses ? 503 : 200;
    if (!behaviour.refuses) {
      response.stream = [=](StreamWriter& aWriter) { return Write(prompt, behaviour, aWriter); };
    }
    return response;
  }

  static bool Write(const EnginePrompt& aPrompt, const Behaviour& aBehaviour, StreamWriter& aWriter)
  {
    const std::uint64_t last = std::min(aPrompt.offset + aBehaviour.tokens, kLength);
    for (std::uint64_t offset = aPrompt.offset; offset < last; ++offset) {
      AnswerFrame frame;
      frame.attempt = aPrompt.attempt;
      frame.offset = offset;
      frame.tokens = 1;
      frame.text = std::to_string(offset) + ",";
      if (aBehaviour.noisy) {
        AnswerFrame foreign = frame;
        foreign.attempt = AttemptId("another");
        foreign.text = "WRONG";
        Send(foreign, aWriter);
        Send(frame, aWriter);
      }
      if (offset != aBehaviour.skipped) {
        Send(frame, aWriter);
      }
    }
    if (last < kLength) {
      return false;
    }
    AnswerFrame end;
    end.attempt = aPrompt.attempt;
    end.offset = kLength;
    end.end = aBehaviour.endMark;
    end.finishReason = "length";
    end.usage = { TokenCount(3), TokenCount(kLength), TokenCount() };
    return Send(end, aWriter);
  }

  static bool Send(const AnswerFrame& aFrame, StreamWriter& aWriter)
  {
    return aWriter.Write("data: " + FormatAnswerFrame(aFrame) + "\n\n");
  }

  std::vector<Behaviour> script;
  mutable absl::Mutex mutex;
  std::vector<EnginePrompt> prompts;
  ScriptedTarget target;
};

class CompletionRelayTest : public TrafficFixture
{
protected:
  HttpClientResponse Prompt(const std::string& aKey = "")
  {
    return this->Post("/v1/completions", R"({"model":"plates-7b","prompt":"x"})", aKey);
  }

  // Returns the events of a streamed answer up to its end or failure.
  std::string PromptStreamed()
  {
    auto exchange = HttpExchange::Connect(
      this->MakeCall("/v1/completions", R"({"model":"plates-7b","prompt":"x","stream":true})"));
    EXPECT_TRUE(exchange.value()->Send());
    EXPECT_TRUE(exchange.value()->ReadHeader());
    std::string events;
    auto chunk = exchange.value()->ReadSome();
    while (chunk && !chunk.value().empty()) {
      events += chunk.value();
      chunk = exchange.value()->ReadSome();
    }
    return events;
  }

  // Starts the host with one engine. The other one appears during the first call, so that the first
  // call goes to aFirst.
  void StartWith(ScriptedEngine& aFirst, const TargetRecord& aOther)
  {
    const TargetRecord first = aFirst.Record("e-1");
    aFirst.onCall = [=, this] { this->SetTargets({ first, aOther }); };
    this->SetTargets({ first });
    this->StartHost();
  }

  static bool ContainsWholeAnswer(const HttpClientResponse& aAnswer)
  {
    return aAnswer.body.find("\"text\":\"" + kWholeText + "\"") != std::string::npos;
  }
};

TEST_F(CompletionRelayTest, ResumesInterruptedAnswerAtItsOffset)
{
  const ScriptedEngine engine({ Behaviour{ 2 }, Behaviour() });
  this->SetTargets({ engine.Record("e-1") });
  this->StartHost();
  EXPECT_TRUE(ContainsWholeAnswer(this->Prompt()));
  ASSERT_EQ(engine.Prompts().size(), 2U);
  EXPECT_EQ(engine.Prompts()[1].offset, 2U);
  EXPECT_EQ(engine.Prompts()[1].attempt, engine.Prompts()[0].attempt);
}

TEST_F(CompletionRelayTest, CompletesAnswerInterruptedAfterEveryToken)
{
  const ScriptedEngine engine({ Behaviour{ 1 } });
  this->SetTargets({ engine.Record("e-1") });
  this->StartHost();
  EXPECT_TRUE(ContainsWholeAnswer(this->Prompt()));
}

TEST_F(CompletionRelayTest, ContinuesOnAnotherEngineAfterDeliveredText)
{
  ScriptedEngine failing({ Behaviour{ 2 }, Behaviour{ 0 } });
  const ScriptedEngine other({ Behaviour() });
  this->StartWith(failing, other.Record("e-2"));
  EXPECT_TRUE(ContainsWholeAnswer(this->Prompt()));
  ASSERT_EQ(other.Prompts().size(), 1U);
  EXPECT_EQ(other.Prompts()[0].delivered, "0,1,");
  EXPECT_NE(other.Prompts()[0].attempt, failing.Prompts()[0].attempt);
}

TEST_F(CompletionRelayTest, DoesNotContinueOnAnotherWeightVersion)
{
  ScriptedEngine failing({ Behaviour{ 2 }, Behaviour{ 0 } });
  const ScriptedEngine other({ Behaviour() });
  TargetRecord newer = other.Record("e-2");
  newer.models[0].version = WeightVersion("v2");
  this->StartWith(failing, newer);
  const HttpClientResponse answer = this->Prompt();
  EXPECT_EQ(answer.status, 502);
  EXPECT_TRUE(other.Prompts().empty());
}

TEST_F(CompletionRelayTest, TreatsAnswerWithoutEndMarkAsIncomplete)
{
  const ScriptedEngine engine({ Behaviour{ kLength, false } });
  this->SetTargets({ engine.Record("e-1") });
  this->StartHost();
  const std::string events = this->PromptStreamed();
  EXPECT_EQ(events.find("[DONE]"), std::string::npos);
  EXPECT_NE(events.find("\"outcome\":\"may_have_run\""), std::string::npos);
}

TEST_F(CompletionRelayTest, DropsDuplicateFramesAndFramesOfOtherAttempts)
{
  Behaviour noisy;
  noisy.noisy = true;
  const ScriptedEngine engine({ noisy });
  this->SetTargets({ engine.Record("e-1") });
  this->StartHost();
  EXPECT_TRUE(ContainsWholeAnswer(this->Prompt()));
}

TEST_F(CompletionRelayTest, ResumesAtGapInAnswer)
{
  Behaviour gap;
  gap.skipped = 3;
  const ScriptedEngine engine({ gap, Behaviour() });
  this->SetTargets({ engine.Record("e-1") });
  this->StartHost();
  EXPECT_TRUE(ContainsWholeAnswer(this->Prompt()));
  EXPECT_EQ(engine.Prompts()[1].offset, 3U);
}

TEST_F(CompletionRelayTest, RetriesRefusedPromptOnAnotherEngine)
{
  Behaviour refusal;
  refusal.refuses = true;
  const ScriptedEngine refusing({ refusal });
  const ScriptedEngine other({ Behaviour() });
  this->SetTargets({ refusing.Record("e-1"), other.Record("e-2") });
  this->StartHost();
  EXPECT_TRUE(ContainsWholeAnswer(this->Prompt()));
}

TEST_F(CompletionRelayTest, ReportsNotRunWhenAllEnginesRefuse)
{
  Behaviour refusal;
  refusal.refuses = true;
  const ScriptedEngine refusing({ refusal });
  this->SetTargets({ refusing.Record("e-1") });
  this->StartHost();
  EXPECT_NE(this->Prompt("note-1").body.find("\"outcome\":\"not_run\""), std::string::npos);
}

TEST_F(CompletionRelayTest, DoesNotRestartPromptWithIdempotencyKey)
{
  const ScriptedEngine failing({ Behaviour{ 0 } });
  const ScriptedEngine other({ Behaviour{ 0 } });
  this->SetTargets({ failing.Record("e-1"), other.Record("e-2") });
  this->StartHost();
  const HttpClientResponse answer = this->Prompt("note-1");
  EXPECT_NE(answer.body.find("\"outcome\":\"may_have_run\""), std::string::npos);
  EXPECT_EQ(failing.Prompts().size() + other.Prompts().size(), 1U);
}

TEST_F(CompletionRelayTest, ReplaysKeptAnswerForSecondPromptWithSameKey)
{
  const ScriptedEngine engine({ Behaviour() });
  this->SetTargets({ engine.Record("e-1") });
  this->StartHost();
  const HttpClientResponse first = this->Prompt("note-1");
  HttpClientResponse second = this->Prompt("note-1");
  while (second.status == 409) {
    second = this->Prompt("note-1");
  }
  EXPECT_EQ(second.body, first.body);
  EXPECT_EQ(engine.Prompts().size(), 1U);
}

// The engine sends comments only and never ends, so only the caller's disconnect can end its call.
TEST_F(CompletionRelayTest, CancelsAtSilentEngineWhenCallerDisconnects)
{
  absl::Notification cancelled;
  const ScriptedTarget silent([&](const HttpRequest&) {
    HttpResponse response;
    response.stream = [&](StreamWriter& aWriter) {
      while (aWriter.IsOpen() && aWriter.Write(": silent\n\n")) {
        absl::SleepFor(absl::Milliseconds(5));
      }
      cancelled.Notify();
      return false;
    };
    return response;
  });
  this->SetTargets({ silent.Record("e-1", TargetKind::Engine) });
  this->StartHost();
  HttpCall call =
    this->MakeCall("/v1/completions", R"({"model":"plates-7b","prompt":"x","stream":true})");
  auto exchange = HttpExchange::Connect(call);
  ASSERT_TRUE(exchange.value()->Send());
  ASSERT_TRUE(exchange.value()->ReadHeader());
  exchange.value().reset();
  EXPECT_TRUE(cancelled.WaitForNotificationWithTimeout(absl::Seconds(20)));
}

} // namespace
} // namespace damasklink
