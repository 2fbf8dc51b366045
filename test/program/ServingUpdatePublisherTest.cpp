#include "program/ServingUpdatePublisher.h"

#include "damasklink/protocol/ServingCodec.h"
#include "program/PublisherFixture.h"

namespace damasklink {
namespace {

// Enough for their service to be divided into subsets.
constexpr int kManyTargets = 10'000;

using ServingUpdatePublisherTest = testing::PublisherFixture;

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

// Guards against messages between control hosts that grow with targets times control hosts: ten a
// second from each to each.
TEST_F(ServingUpdatePublisherTest, HeartbeatsThatChangeNothingAreRelayedOnceASecond)
{
  constexpr int kTargets = 100;
  constexpr int kSeconds = 3;
  this->hosts.AddControlHost(HostId("other"), ZoneId("z"));
  for (int number = 0; number < kTargets; ++number) {
    this->Discover(number, 1);
  }
  this->publisher.PublishChanges();
  const std::uint64_t before = this->Sent(Counter::PeerMessagesOut, "pictures");
  for (int step = 0; step < 10 * kSeconds; ++step) {
    for (int number = step % 10; number < kTargets; number += 10) {
      this->Discover(number, 2 + step / 10);
    }
    this->clock.Advance(std::chrono::milliseconds(100));
    this->publisher.PublishChanges();
  }
  EXPECT_LE(this->Sent(Counter::PeerMessagesOut, "pictures") - before, kSeconds + 1U);
}

// Guards against hosts that know too low an age for good, as they stood still while the message was
// on its way. Old versions cost nothing.
TEST_F(ServingUpdatePublisherTest, RecentWeightsAreRepeatedUntilTheyAreOld)
{
  constexpr int kSecondsRecent = 12;
  this->Connect(1);
  this->weightAges.OnTold({ AnnouncedWeights{ ModelName("m"), 2, Duration::zero() } });
  std::uint64_t before = this->Sent(Counter::PeerMessagesOut, "pictures");
  for (int second = 0; second < kSecondsRecent; ++second) {
    this->publisher.PublishWeights();
    this->publisher.PublishWeights();
    this->clock.Advance(std::chrono::seconds(1));
  }
  const std::uint64_t repeated = this->Sent(Counter::PeerMessagesOut, "pictures") - before;
  EXPECT_GE(repeated, kSecondsRecent - 2U);
  EXPECT_LE(repeated, static_cast<std::uint64_t>(kSecondsRecent));
  before = this->Sent(Counter::PeerMessagesOut, "pictures");
  this->publisher.PublishWeights();
  EXPECT_EQ(this->Sent(Counter::PeerMessagesOut, "pictures"), before);
}

// Guards against entry hosts that hear, keep and compare all targets of a deployment: with ten
// thousand of them that was most of their work.
TEST_F(ServingUpdatePublisherTest, HostIsSentTheTargetsOfItsSubsetOnly)
{
  this->DiscoverAll(kManyTargets);
  this->Connect(1);
  const std::uint64_t bytes = this->Sent(Counter::PeerBytesOut, "snapshots");
  ServingUpdate all;
  all.targets = this->tracker.AllOf([](const TargetRecord&) { return true; });
  EXPECT_EQ(all.targets.size(), static_cast<std::size_t>(kManyTargets));
  EXPECT_LT(bytes * 8, EncodeCompressed(all).size());
}

TEST_F(ServingUpdatePublisherTest, ChangesOfOtherTargetsAreNotSent)
{
  this->DiscoverAll(kManyTargets);
  constexpr int kHosts = 100;
  for (int number = 0; number < kHosts; ++number) {
    this->Connect(number);
  }
  this->publisher.PublishChanges();
  const std::uint64_t before = this->Sent(Counter::PeerMessagesOut, "pictures");
  this->tracker.OnDeparture(TargetId("t1"));
  this->publisher.PublishChanges();
  const std::uint64_t sent = this->Sent(Counter::PeerMessagesOut, "pictures") - before;
  EXPECT_GT(sent, 0U);
  EXPECT_LT(sent, kHosts / 4U);
}

TEST_F(ServingUpdatePublisherTest, TotalsGoToHostsThatUseTheTargetAndToThoseThatReported)
{
  this->DiscoverAll(kManyTargets);
  constexpr int kHosts = 100;
  for (int number = 0; number < kHosts; ++number) {
    this->Connect(number);
    this->Report(number, 1);
  }
  this->publisher.PublishLoads();
  const std::uint64_t before = this->Sent(Counter::PeerMessagesOut, "totals");
  for (int number = 0; number < 10; ++number) {
    this->Report(number, 2);
  }
  this->publisher.PublishLoads();
  const std::uint64_t sent = this->Sent(Counter::PeerMessagesOut, "totals") - before;
  EXPECT_GE(sent, 10U) << "a report is answered even if its host does not use the target";
  EXPECT_LT(sent, 10U + kHosts / 4U);
}

// Guards against work for hosts that have given up and will connect again.
// Guards against hosts that overfill brittle targets because no target has answered them yet.
TEST_F(ServingUpdatePublisherTest, BrittleServicesGoToAllReportingHosts)
{
  this->DiscoverAll(1);
  for (int host = 0; host < 3; ++host) {
    this->Connect(host);
    this->Report(host, 0);
  }
  this->publisher.PublishLoads();
  const std::uint64_t before = this->Sent(Counter::PeerMessagesOut, "totals");
  LoadReport report;
  report.host = EntryHost(0);
  report.brittle = { BrittleService{ ServiceName("s"), RequestRate{ 3 }, Duration::zero() } };
  this->publisher.OnLoadReport(report.host, report);
  this->publisher.PublishLoads();
  EXPECT_EQ(this->Sent(Counter::PeerMessagesOut, "totals") - before, 3U);
  this->publisher.PublishLoads();
  EXPECT_EQ(this->Sent(Counter::PeerMessagesOut, "totals") - before, 3U);
}

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
