// A ServingUpdatePublisher whose messages are counted and go nowhere.
#pragma once

#include <map>
#include <string>
#include <utility>

#include <gtest/gtest.h>

#include "platform/Dialect.h"
#include "program/ServingUpdatePublisher.h"

namespace damasklink::testing {

// Sums what is counted.
class CountingMetrics final : public Metrics
{
public:
  void Add(Counter aCounter, const MetricKey& aKey, std::uint64_t aAmount) override
  {
    this->counts[{ aCounter, aKey.kind }] += aAmount;
  }
  void Observe(Sample /*aSample*/, const MetricKey& /*aKey*/, Duration /*aValue*/) override {}
  void CountServiceLevel(const WorkspaceId& /*aWorkspace*/, bool /*aGood*/) override {}

  std::uint64_t Count(Counter aCounter, const std::string& aKind = "")
  {
    return this->counts[{ aCounter, aKind }];
  }

private:
  std::map<std::pair<Counter, std::string>, std::uint64_t> counts;
};

class IgnoringHandler final : public PeerMeshHandler
{
public:
  void OnPeerUp(const HostId& /*aPeer*/, LinkSide /*aSide*/) override {}
  void OnPeerDown(const HostId& /*aPeer*/, LinkSide /*aSide*/) override {}
  void OnPeerMessage(const HostId& /*aPeer*/, PeerMessage /*aMessage*/) override {}
};

class PublisherHarness
{
public:
  static HostId EntryHost(int aNumber) { return HostId("10.1.0." + std::to_string(aNumber)); }

  void Connect(int aNumber)
  {
    const HostId host = EntryHost(aNumber);
    this->hosts.OnEntryHostConnected(host);
    this->publisher.SendSnapshot(host);
  }

  // A target is heard.
  void Discover(int aNumber, int aSequence = 1)
  {
    TargetRecord record;
    record.id = TargetId("t" + std::to_string(aNumber));
    record.service = ServiceName("s");
    record.sequence = Sequence(static_cast<std::uint64_t>(aSequence));
    record.endpoint = Endpoint{ "10.1.1." + std::to_string(aNumber), 8080 };
    this->tracker.OnHeartbeat(record);
  }

  // That many targets are heard, and published.
  void DiscoverAll(int aCount)
  {
    for (int number = 0; number < aCount; ++number) {
      this->Discover(number);
    }
    this->publisher.PublishChanges();
  }

  std::uint64_t SnapshotsSent() { return this->Sent(Counter::PeerMessagesOut, "snapshots"); }

  // The entry host reports a request at a target.
  void Report(int aHost, int aTarget)
  {
    LoadReport report;
    report.host = EntryHost(aHost);
    InFlightLoad& load = report.sends.emplace_back();
    load.target = TargetId("t" + std::to_string(aTarget));
    load.requests = 1;
    this->publisher.OnLoadReport(report.host, report);
  }

  std::uint64_t Sent(Counter aCounter, const std::string& aWork)
  {
    this->clock.Advance(std::chrono::seconds(1));
    this->account.Step();
    return this->metrics.Count(aCounter, aWork);
  }

  ManualClock clock;
  MemoryBudget memory{ ByteCount(256 * kMebibyte) };
  asio::io_context loop{ 1 };
  ServingSettings settings;
  CountingMetrics metrics;
  IgnoringHandler handler;
  PeerMesh mesh{ this->loop, HostId("control"), 0, this->memory, this->handler };
  platform::Dialect dialect;
  ServingGroup group{ this->loop, this->clock, this->settings, this->metrics, this->mesh, [] {} };
  StoreWatchPlan plan{ HostId("control"), ZoneId("z") };
  StoreWatcher stores{ this->loop, this->clock,  this->dialect,
                       this->plan, this->memory, { [](const auto&) {}, [](const auto&) {} } };
  TargetTracker tracker{ this->clock, std::chrono::seconds(4) };
  HostRegistry hosts{ HostId("control"), ZoneId("z") };
  CrashRegistry crashes{ this->clock };
  WeightAgeTracker weightAges{ this->clock, std::chrono::seconds(12) };
  WorkStatistics account{ this->clock, this->metrics };
  ServingUpdatePublisher publisher{ this->clock,   this->settings, this->group,   this->stores,
                                    this->tracker, this->hosts,    this->crashes, this->weightAges,
                                    this->mesh,    this->metrics,  this->account };
};

class PublisherFixture
  : public ::testing::Test
  , protected PublisherHarness
{};

} // namespace damasklink::testing
