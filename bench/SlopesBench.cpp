// Slopes of state, processor time and bytes on the wire, for docs/CAPACITY.md.
#include <iostream>
#include <memory>

#include "Bench.h"
#include "Slope.h"
#include "TargetTracker.h"
#include "damasklink/coordination/ClaimRegistry.h"
#include "damasklink/coordination/Router.h"
#include "damasklink/coordination/ServiceLevelWindows.h"
#include "damasklink/coordination/TargetRegistry.h"
#include "damasklink/protocol/CallerApi.h"
#include "damasklink/protocol/EngineApi.h"
#include "damasklink/protocol/Envelope.h"
#include "damasklink/state/CallerDirectory.h"
#include "damasklink/state/Digests.h"
#include "damasklink/state/MetricsRegistry.h"
#include "damasklink/state/Text.h"

namespace damasklink::bench {
namespace {

constexpr Duration kSilence = std::chrono::seconds(2);
// The bound that a host sets.
constexpr std::size_t kMostSeries = 512;
constexpr std::uint64_t kFirstPort = 9'000;

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

// What a control host does for its targets: the time of one heartbeat, and that of one step in
// which a hundredth of them were heard and nothing has changed.
void
MeasureControlPicture()
{
  std::vector<SlopePoint> heartbeat;
  std::vector<SlopePoint> step;
  for (const std::uint64_t size : { 300U, 1'000U, 3'000U }) {
    ManualClock clock;
    TargetTracker picture(clock, kSilence);
    std::vector<TargetRecord> targets;
    for (std::uint64_t number = 0; number < size; ++number) {
      TargetRecord target = MakeTarget(number);
      target.endpoint.port = static_cast<std::uint16_t>(kFirstPort + number);
      targets.push_back(target);
      picture.OnRelayedRecord(target);
    }
    picture.TakeChanges();
    std::uint64_t sequence = 1;
    std::size_t next = 0;
    const auto hear = [&] {
      TargetRecord& target = targets[next++ % size];
      target.sequence = Sequence(++sequence);
      picture.OnRelayedRecord(target);
    };
    const auto count = static_cast<double>(size);
    heartbeat.push_back({ count, MicrosecondsPerCall(2'000, hear) });
    picture.TakeChanges();
    step.push_back({ count, MicrosecondsPerCall(100, [&] {
                       for (std::uint64_t heard = 0; heard < size / 100; ++heard) {
                         hear();
                       }
                       static_cast<void>(picture.UsableEngines());
                       static_cast<void>(picture.RemainingEngines());
                       static_cast<void>(picture.TakeChanges());
                     }) });
  }
  PrintSlope("control_heartbeat", "us/target", heartbeat);
  PrintSlope("control_step", "us/target", step);
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

ClaimCommand
MakeClaim(std::uint64_t aNumber)
{
  ClaimCommand command;
  command.workspace = WorkspaceId("office");
  command.key = IdempotencyKey(Concat("order-", aNumber));
  command.attempt = AttemptId(Concat("attempt-", aNumber));
  command.body = Digest("body");
  command.retention = std::chrono::hours(48);
  command.lease = std::chrono::seconds(30);
  return command;
}

// Idempotency keys that one zone remembers: memory, and the time of one claim.
void
MeasureClaims()
{
  std::vector<SlopePoint> memory;
  std::vector<SlopePoint> time;
  for (const std::uint64_t size : { 10'000U, 100'000U, 400'000U }) {
    const double before = HeapBytes();
    const double begun = ThreadMicroseconds();
    ClaimRegistry ledger;
    ApplyContext context;
    for (std::uint64_t number = 0; number < size; ++number) {
      context.index = context.index.Next();
      ledger.Apply(context, MakeClaim(number));
    }
    const auto count = static_cast<double>(size);
    time.push_back({ count, ThreadMicroseconds() - begun });
    memory.push_back({ count, HeapBytes() - before });
  }
  PrintSlope("claims_memory", "B/key", memory);
  PrintSlope("claims_time", "us/key", time);
}

// Series of metrics, up to the bound beyond which they fold into one.
void
MeasureMetrics()
{
  std::vector<SlopePoint> memory;
  for (const std::uint64_t size : { 100U, 300U, 500U }) {
    const SystemClock clock;
    const double before = HeapBytes();
    ServiceLevelWindows windows(clock, kMostSeries);
    MetricsRegistry registry(clock, windows, kMostSeries);
    for (std::uint64_t number = 0; number < size; ++number) {
      const MetricKey key{ WorkspaceId(Concat("workspace-", number)), "" };
      registry.Add(Counter::Requests, key, 1);
      registry.Observe(Sample::FirstToken, key, std::chrono::milliseconds(5));
      registry.CountServiceLevel(key.workspace, true);
    }
    memory.push_back({ static_cast<double>(size), HeapBytes() - before });
  }
  PrintSlope("metrics_memory", "B/workspace", memory);
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
  CompletionHeader header;
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
  MeasureControlPicture();
  MeasureDirectory();
  MeasureClaims();
  MeasureMetrics();
  MeasureEnvelope();
  MeasureTokenWork();
  return 0;
}

} // namespace damasklink::bench
