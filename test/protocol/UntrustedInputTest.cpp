// Parsers of bytes from callers, targets and peers: for any bytes, the result is a value, or an
// error of an expected kind with a message and a remedy.
#include <set>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "Mutations.h"
#include "damasklink/coordination/GroupIncarnation.h"
#include "damasklink/protocol/BurnApi.h"
#include "damasklink/protocol/CallerApi.h"
#include "damasklink/protocol/ClaimStateMachine.h"
#include "damasklink/protocol/ConfigCodec.h"
#include "damasklink/protocol/EngineApi.h"
#include "damasklink/protocol/Envelope.h"
#include "damasklink/protocol/OperatorApi.h"
#include "damasklink/protocol/ServingCodec.h"

namespace damasklink::testing {
namespace {

template<typename T>
void
AssertValueOrError(const Result<T>& aResult, const std::set<ErrorKind>& aKinds)
{
  if (!aResult) {
    RC_ASSERT(aKinds.contains(aResult.error().kind));
    RC_ASSERT(!aResult.error().message.empty());
    RC_ASSERT(!aResult.error().remedy.empty());
  }
}

TargetRecord
MakeRecord()
{
  TargetRecord record;
  record.id = TargetId("engine-1");
  record.zone = ZoneId("hall-north");
  record.endpoint = Endpoint{ "127.0.0.1", 8000 };
  record.incarnation = Incarnation(3);
  record.sequence = Sequence(4);
  record.models = { { ModelName("plates-7b"), WeightVersion("v1"), { AdapterName("a") } } };
  record.load = { 1, 2, TokenCount(3), 4 };
  record.rates = { 20'000, 400 };
  return record;
}

RC_GTEST_PROP(UntrustedInputTest, CallerBodiesAreAPromptOrAnError, ())
{
  ForNearlyValid(
    R"({"model":"plates-7b@v1+a","prompt":"x","max_tokens":9,"stream":true,"stop":["."]})",
    [](const std::string& aBody) {
      AssertValueOrError(ParseCompletionRequest(aBody, CompletionStyle::Text),
                         { ErrorKind::InvalidArgument });
    });
  ForNearlyValid(
    R"({"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"x"}]}],"n":1})",
    [](const std::string& aBody) {
      AssertValueOrError(ParseCompletionRequest(aBody, CompletionStyle::Chat),
                         { ErrorKind::InvalidArgument });
    });
}

RC_GTEST_PROP(UntrustedInputTest, AnnouncementsAreARecordOrAnError, ())
{
  ForNearlyValid(FormatTargetRecord(MakeRecord()), [](const std::string& aBody) {
    AssertValueOrError(ParseTargetRecord(aBody), { ErrorKind::InvalidArgument });
  });
}

RC_GTEST_PROP(UntrustedInputTest, AnswerFramesAreAFrameOrAnError, ())
{
  AnswerFrame frame;
  frame.attempt = AttemptId("req-1-1");
  frame.offset = 7;
  frame.tokens = 1;
  frame.text = "text";
  frame.end = true;
  frame.finishReason = "length";
  ForNearlyValid(FormatAnswerFrame(frame), [](const std::string& aText) {
    AssertValueOrError(ParseAnswerFrame(aText), { ErrorKind::Corrupt, ErrorKind::InvalidArgument });
  });
}

RC_GTEST_PROP(UntrustedInputTest, EnginePromptsAreAPromptOrAnError, ())
{
  EnginePrompt prompt;
  prompt.attempt = AttemptId("req-1-1");
  prompt.model = ModelName("m");
  prompt.prompt = "x";
  ForNearlyValid(FormatEnginePrompt(prompt), [](const std::string& aBody) {
    AssertValueOrError(ParseEnginePrompt(aBody), { ErrorKind::InvalidArgument });
  });
}

RC_GTEST_PROP(UntrustedInputTest, PeerFramesAreAnEnvelopeOrAnError, ())
{
  const Envelope envelope{ HostId("hall-north-1"), 3, GroupId("control"), "payload" };
  ForNearlyValid(EncodeEnvelope(envelope), [](const std::string& aBytes) {
    AssertValueOrError(DecodeEnvelope(aBytes), { ErrorKind::Corrupt, ErrorKind::InvalidArgument });
  });
}

RC_GTEST_PROP(UntrustedInputTest, ServingMessagesAreAMessageOrAnError, ())
{
  DocumentChunk chunk;
  chunk.transfer = TransferId{ Revision(7), Revision(3), 40, 1 };
  chunk.bytes = std::string(40, 'x');
  ForNearlyValid(EncodeServingMessage(chunk), [](const std::string& aBytes) {
    AssertValueOrError(DecodeServingMessage(aBytes), { ErrorKind::Corrupt });
  });
}

RC_GTEST_PROP(UntrustedInputTest, HostBurnsAreAHostBurnOrAnError, ())
{
  HostBurn burn;
  burn.workspaces.resize(1);
  ForNearlyValid(FormatHostBurn(burn), [](const std::string& aBody) {
    AssertValueOrError(ParseHostBurn(aBody), { ErrorKind::Corrupt });
  });
}

// A state machine that rejects a snapshot keeps its state, and after any command its state can
// still be saved and loaded.
template<typename Machine>
void
AssertStateStaysValid(const std::string& aSnapshot, const std::string& aCommand)
{
  ForNearlyValid(aSnapshot, [&](const std::string& aBytes) {
    Machine machine;
    RC_ASSERT(machine.Load(aSnapshot).has_value());
    const auto loaded = machine.Load(aBytes);
    AssertValueOrError(loaded, { ErrorKind::Corrupt });
    if (!loaded) {
      RC_ASSERT(machine.Save() == aSnapshot);
    }
  });
  ForNearlyValid(aCommand, [&](const std::string& aBytes) {
    Machine machine;
    RC_ASSERT(machine.Load(aSnapshot).has_value());
    machine.Apply(ApplyContext{}, aBytes);
    RC_ASSERT(Machine().Load(machine.Save()).has_value());
  });
}

ClaimCommand
MakeClaimCommand()
{
  ClaimCommand command;
  command.workspace = WorkspaceId("head-office");
  command.key = IdempotencyKey("job-1");
  command.attempt = AttemptId("req-1-1");
  command.body = Digest(std::string(64, 'a'));
  return command;
}

RC_GTEST_PROP(UntrustedInputTest, ClaimsSurviveAnySnapshotAndCommand, ())
{
  ClaimStateMachine machine;
  const std::string command = EncodeClaimCommand(MakeClaimCommand());
  machine.Apply(ApplyContext{}, command);
  AssertStateStaysValid<ClaimStateMachine>(machine.Save(), command);
}

RC_GTEST_PROP(UntrustedInputTest, GroupRegistrySurvivesAnySnapshotAndCommand, ())
{
  GroupRegistry machine;
  const std::string command = EncodeRegistration(GroupId("claims/a"), FormationId(7));
  machine.Apply(ApplyContext{}, command);
  AssertStateStaysValid<GroupRegistry>(machine.Save(), command);
}

RC_GTEST_PROP(UntrustedInputTest, ClaimMessagesAreAValueOrAnError, ())
{
  ForNearlyValid(EncodeClaimCommand(MakeClaimCommand()), [](const std::string& aBytes) {
    AssertValueOrError(DecodeClaimCommand(aBytes), { ErrorKind::Corrupt });
  });
  const ClaimReply reply{ ClaimVerdict::Kept, Duration(0), KeptAnswer{} };
  ForNearlyValid(EncodeClaimReply(reply), [](const std::string& aBytes) {
    AssertValueOrError(DecodeClaimReply(aBytes), { ErrorKind::Corrupt });
  });
}

RC_GTEST_PROP(UntrustedInputTest, ConfigurationMessagesAreAValueOrAnError, ())
{
  ConfigMessage message;
  message.kind = ConfigMessageKind::Delta;
  message.revision = Revision(12);
  message.origin = HostId("h1");
  message.body = "packed";
  ForNearlyValid(EncodeConfigMessage(message), [](const std::string& aBytes) {
    AssertValueOrError(DecodeConfigMessage(aBytes), { ErrorKind::Corrupt });
  });
  Heartbeat heartbeat;
  heartbeat.others.resize(3);
  ForNearlyValid(EncodeHeartbeat(heartbeat), [](const std::string& aBytes) {
    AssertValueOrError(DecodeHeartbeat(aBytes), { ErrorKind::Corrupt });
  });
}

RC_GTEST_PROP(UntrustedInputTest, OperatorCallsAreAValueOrAnError, ())
{
  ChangeRequest request;
  request.id = ChangeId("apply-1");
  request.subtree = ParseSubtreeName("workspaces/head-office").value();
  request.author = "operator";
  request.content = "workspaces:\n  head-office: {}\n";
  ForNearlyValid(FormatChangeRequest(request), [](const std::string& aBody) {
    AssertValueOrError(ParseChangeRequest(aBody), { ErrorKind::InvalidArgument });
  });
  HostStatus status;
  status.peers.resize(2);
  status.targets.resize(1);
  ForNearlyValid(FormatHostStatus(status), [](const std::string& aBody) {
    AssertValueOrError(ParseHostStatus(aBody), { ErrorKind::InvalidArgument, ErrorKind::Corrupt });
  });
}

// The extracted data does not depend on how the stream is split into chunks.
RC_GTEST_PROP(UntrustedInputTest, EventsAreIndependentOfChunking, ())
{
  const auto texts = *rc::gen::container<std::vector<std::string>>(
    rc::gen::nonEmpty(rc::gen::string<std::string>()));
  std::string bytes;
  std::vector<std::string> expected;
  for (std::string text : texts) {
    std::erase_if(text, [](char aChar) { return aChar == '\n' || aChar == '\r'; });
    bytes += "data: " + text + "\n\n";
    expected.push_back(text);
  }
  constexpr std::size_t kMaxLineBytes = 4096;
  SseReader reader(kMaxLineBytes);
  std::vector<std::string> read;
  std::size_t at = 0;
  while (at < bytes.size()) {
    const std::size_t count = *rc::gen::inRange<std::size_t>(1, 20);
    RC_ASSERT(reader.Feed(bytes.substr(at, count)).has_value());
    at += count;
    while (auto text = reader.Next()) {
      read.push_back(*text);
    }
  }
  RC_ASSERT(read == expected);
}

TEST(UntrustedInputTest, RejectsUnterminatedEventAtTheLimit)
{
  constexpr std::size_t kMaxLineBytes = 1000;
  SseReader reader(kMaxLineBytes);
  std::size_t fed = 0;
  const std::string chunk(100, 'x');
  while (reader.Feed(chunk)) {
    fed += chunk.size();
    ASSERT_LE(fed, kMaxLineBytes);
    EXPECT_FALSE(reader.Next());
  }
}

} // namespace
} // namespace damasklink::testing
