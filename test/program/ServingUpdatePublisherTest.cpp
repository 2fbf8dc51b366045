#include "program/ServingUpdatePublisher.h"

#include <map>

#include <gtest/gtest.h>

#include "platform/Dialect.h"

namespace damasklink {
namespace {

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

// A publisher whose messages are counted and go nowhere.
class ServingUpdatePublisherTest : public ::testing::Test
{
protected:
  void Connect(int aNumber)
  {
    const HostId host("10.1.0." + std::to_string(aNumber));
    this->hosts.OnEntryHostConnected(host);
    this->publisher.SendSnapshot(host);
  }

  // A target is heard for the first time.
  void Discover(int aNumber)
  {
    TargetRecord record;
    record.id = TargetId("t" + std::to_string(aNumber));
    record.service = ServiceName("s");
    record.sequence = Sequence(1);
    record.endpoint = Endpoint{ "10.1.1." + std::to_string(aNumber), 8080 };
    this->tracker.OnHeartbeat(record);
  }

  std::uint64_t SnapshotsSent()
  {
    this->clock.Advance(std::chrono::seconds(1));
    this->account.Step();
    return this->metrics.Count(Counter::PeerMessagesOut, "snapshots");
  }

  ManualClock clock;
  asio::io_context loop{ 1 };
  ServingSettings settings;
  CountingMetrics metrics;
  IgnoringHandler handler;
  PeerMesh mesh{ this->loop, HostId("control"), 0, this->handler };
  platform::Dialect dialect;
  ServingGroup group{ this->loop, this->clock, this->settings, this->metrics, this->mesh, [] {} };
  StoreWatcher stores{ this->loop, this->clock, this->dialect, [](const auto&) {} };
  TargetTracker tracker{ this->clock, std::chrono::seconds(4) };
  HostRegistry hosts{ HostId("control"), ZoneId("z") };
  CrashRegistry crashes{ this->clock };
  WorkStatistics account{ this->clock, this->metrics };
  ServingUpdatePublisher publisher{ this->clock,   this->settings, this->group,   this->stores,
                                    this->tracker, this->hosts,    this->crashes, this->mesh,
                                    this->metrics, this->account };
};

// Guards against control hosts that are overloaded when hundreds of hosts connect while targets
// change: each connection cost an encoding of all targets.
TEST_F(ServingUpdatePublisherTest, HostsThatConnectTogetherShareOneSnapshot)
{
  constexpr int kHosts = 150;
  for (int number = 0; number < kHosts; ++number) {
    this->Connect(number);
    this->Discover(number);
  }
  this->publisher.PublishChanges();
  EXPECT_LE(this->metrics.Count(Counter::SnapshotsEncoded), 2U);
  EXPECT_EQ(this->SnapshotsSent(), kHosts);
}

TEST_F(ServingUpdatePublisherTest, SingleHostGetsItsSnapshotAtOnce)
{
  this->Connect(1);
  EXPECT_EQ(this->SnapshotsSent(), 1U);
  this->clock.Advance(std::chrono::seconds(1));
  this->Connect(2);
  EXPECT_EQ(this->SnapshotsSent(), 2U);
}

// Guards against work for hosts that have given up and will connect again.
TEST_F(ServingUpdatePublisherTest, HostThatWasLostGetsNoSnapshot)
{
  this->Connect(1);
  this->Connect(2);
  this->publisher.OnLost(HostId("10.1.0.2"));
  this->publisher.PublishChanges();
  EXPECT_EQ(this->SnapshotsSent(), 1U);
}

} // namespace
} // namespace damasklink
