// Slopes of state, processor time and bytes on the wire, for docs/CAPACITY.md.
#include <iostream>
#include <memory>

#include "Bench.h"
#include "Slope.h"
#include "damasklink/coordination/Router.h"
#include "damasklink/coordination/TargetRegistry.h"
#include "damasklink/protocol/CallerApi.h"
#include "damasklink/protocol/EngineApi.h"
#include "damasklink/protocol/Envelope.h"
#include "damasklink/state/CallerDirectory.h"
#include "damasklink/state/Digests.h"
#include "damasklink/state/Text.h"

namespace damasklink::bench {
namespace {

constexpr Duration kSilence = std::chrono::seconds(2);

TargetRecord
MakeTarget(std::uint64_t aNumber)
{
  TargetRecord record;
  record.id = TargetId(Concat("engine-", aNumber));
  record.zone = ZoneId("zone-01");
  record.endpoint = Endpoint{ "127.0.0.1", 9000 };
  record.incarnation = Incarnation(1);
  record.sequence = Sequence(1);
  record.models = { ServedModel{ ModelName("plates-7b"), WeightVersion("v1"), {} } };
  record.load.slots = 64;
  return record;
}

// Targets that one host remembers: memory, and the cost of one announcement.
void
MeasureRegistry()
{
  std::vector<SlopePoint> memory;
  std::vector<SlopePoint> publish;
  for (const std::uint64_t size : { 400U, 2'000U, 12'000U }) {
    const double before = HeapBytes();
    ManualClock clock;
    TargetRegistry registry(clock, kSilence);
    for (std::uint64_t number = 0; number < size; ++number) {
      registry.Merge(MakeTarget(number));
    }
    const auto count = static_cast<double>(size);
    memory.push_back({ count, HeapBytes() - before });
    publish.push_back(
      { count, MicrosecondsPerCall(20, [&] { static_cast<void>(registry.Usable()); }) });
  }
  PrintSlope("registry_memory", "B/target", memory);
  PrintSlope("registry_publish", "us/target", publish);

  const std::string text = FormatTargetRecord(MakeTarget(1));
  std::cout << "value name=announcement_bytes unit=B value=" << text.size() << '\n';
  const double parse =
    MicrosecondsPerCall(2'000, [&] { static_cast<void>(ParseTargetRecord(text)); });
  std::cout << "value name=announcement_parse unit=us value=" << parse << '\n';
}

// Workspaces in the picture that traffic threads read.
void
MeasureDirectory()
{
  std::vector<SlopePoint> memory;
  std::vector<SlopePoint> build;
  for (const std::uint64_t size : { 1'000U, 5'000U, 26'000U }) {
    ConfigTree tree;
    tree.defaults.models = { ModelGrant{ ModelName("plates-7b"), {} } };
    for (std::uint64_t number = 0; number < size; ++number) {
      TeamNode& team =
        tree.workspaces[WorkspaceId(Concat("workspace-", number))].teams[TeamId("desk")];
      team.keys = { DigestOf(Concat("key-", number)) };
    }
    const double before = HeapBytes();
    const double begun = ThreadMicroseconds();
    const auto directory = std::make_unique<CallerDirectory>(tree);
    const auto count = static_cast<double>(size);
    build.push_back({ count, ThreadMicroseconds() - begun });
    memory.push_back({ count, HeapBytes() - before });
  }
  PrintSlope("caller_directory_memory", "B/workspace", memory);
  PrintSlope("caller_directory_build", "us/workspace", build);
}

// The frame around every message between hosts.
void
MeasureEnvelope()
{
  std::vector<SlopePoint> encode;
  std::vector<SlopePoint> bytes;
  for (const std::size_t size : { 100U, 1'000U, 10'000U }) {
    Envelope envelope;
    envelope.from = HostId("hall-north-1");
    envelope.payload.assign(size, 'x');
    const auto count = static_cast<double>(size);
    bytes.push_back({ count, static_cast<double>(EncodeEnvelope(envelope).size()) });
    encode.push_back({ count, MicrosecondsPerCall(2'000, [&] {
                         static_cast<void>(DecodeEnvelope(EncodeEnvelope(envelope)));
                       }) });
  }
  PrintSlope("envelope_bytes", "B/B", bytes);
  PrintSlope("envelope_round", "us/B", encode);
}

// The relay's own work on one token: reading the frame, ordering it, writing the event.
void
MeasureTokenWork()
{
  AnswerFrame frame;
  frame.attempt = AttemptId("req-hall-north-1-1");
  frame.tokens = 1;
  frame.text = "token ";
  const std::string data = FormatAnswerFrame(frame);
  AnswerHeader header;
  header.request = RequestId("req-hall-north-1");
  header.model = ModelName("plates-7b");
  const double cost = MicrosecondsPerCall(5'000, [&] {
    StreamAssembler assembler(frame.attempt, 0);
    const auto parsed = ParseAnswerFrame(data);
    FormatDeltaEvent(header, assembler.Accept(parsed.value()).value());
  });
  std::cout << "value name=token_work unit=us value=" << cost << '\n';
}

} // namespace

int
RunSlopes(const std::vector<std::string>& /*aArguments*/)
{
  MeasureRegistry();
  MeasureDirectory();
  MeasureEnvelope();
  MeasureTokenWork();
  return 0;
}

} // namespace damasklink::bench
