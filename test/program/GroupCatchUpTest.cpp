// Three control hosts whose connections hold a limited number of bytes, in virtual time.
#include <atomic>
#include <functional>
#include <map>

#include <gtest/gtest.h>

#include "damasklink/coordination/ServingStateMachine.h"
#include "damasklink/transport/FrameCodec.h"
#include "damasklink/transport/FrameScheduler.h"
#include "program/AgreementModule.h"
#include "support/TempFolder.h"

namespace damasklink {
namespace {

using testing::FolderInMemory;
using testing::TempFolder;

// What a connection between hosts takes at once, and holds before it is closed.
constexpr std::size_t kWriteBytes = std::size_t{ 64 } * 1024;
constexpr std::size_t kQueueBytes = std::size_t{ 8 } * 1024 * 1024;

// 100 Mbit/s, and 10 Mbit/s, the least that control hosts have.
constexpr double kLinkBytesPerSecond = 12'500'000;
constexpr double kSlowLinkBytesPerSecond = 1'250'000;

// What the users allow a host that lost its disk to catch up, and all hosts to recover.
constexpr Duration kCatchUp = std::chrono::seconds(4);
constexpr Duration kRecover = std::chrono::seconds(12);

// What the users allow until a change is acknowledged.
constexpr Duration kAcknowledgement = std::chrono::seconds(4);

constexpr std::size_t kDocumentBytes = std::size_t{ 16 } * 1024;
// Fewer than the entries that a replica keeps in memory, and more bytes than a connection holds.
constexpr std::uint64_t kChanges = 900;

constexpr RaftTiming kTiming{ std::chrono::milliseconds(200),
                              std::chrono::milliseconds(700),
                              std::chrono::milliseconds(1400) };

// The connections of one host. One that holds too much is closed, and what it holds is lost.
class BoundedSender final : public PeerSender
{
public:
  void Send(const HostId& aTo, PeerMessage aMessage) override
  {
    Connection& connection = this->connections[aTo];
    const std::size_t before = connection.scheduler.QueuedBytes();
    const std::size_t bytes = FrameScheduler::BytesOf(aMessage);
    connection.closing |= before > 0 && before + bytes > kQueueBytes;
    if (!connection.closing) {
      connection.scheduler.Push(std::move(aMessage));
    }
  }

  // Returns what arrives at the peer within aTime.
  std::vector<PeerMessage> Deliver(const HostId& aTo, Duration aTime, double aBytesPerSecond)
  {
    Connection& connection = this->connections[aTo];
    std::vector<PeerMessage> arrived;
    if (connection.closing) {
      connection = Connection();
      ++this->closed;
      return arrived;
    }
    const double seconds = std::chrono::duration<double>(aTime).count();
    connection.credit += seconds * aBytesPerSecond;
    while (connection.credit >= static_cast<double>(connection.writing.size())) {
      connection.credit -= static_cast<double>(connection.writing.size());
      Receive(connection, arrived);
      connection.writing = connection.scheduler.Next(kWriteBytes);
      if (connection.writing.empty()) {
        connection.credit = 0;
        break;
      }
    }
    return arrived;
  }

  std::size_t closed = 0;

private:
  struct Connection
  {
    Connection() { this->scheduler.AllowFragments(); }

    FrameScheduler scheduler{ HostId("sender") };
    FragmentAssembler assembler;
    std::string writing;
    double credit = 0;
    bool closing = false;
  };

  // Takes the messages out of the bytes that have arrived.
  static void Receive(Connection& aConnection, std::vector<PeerMessage>& aArrived)
  {
    std::string_view bytes = aConnection.writing;
    while (!bytes.empty()) {
      FramePrefix prefix{};
      std::copy_n(bytes.begin(), prefix.size(), prefix.begin());
      const std::size_t length = DecodeFrameLength(prefix);
      auto envelope = DecodeEnvelope(bytes.substr(prefix.size(), length));
      auto whole = aConnection.assembler.Add(std::move(envelope.value()));
      if (whole.value()) {
        aArrived.push_back(PeerMessage{ static_cast<Channel>(whole.value()->channel),
                                        whole.value()->group,
                                        whole.value()->payload });
      }
      bytes.remove_prefix(prefix.size() + length);
    }
  }

  std::map<HostId, Connection> connections;
};

class GroupCatchUpTest : public ::testing::Test
{
protected:
  struct Host
  {
    Host(const Clock& aClock,
         const std::vector<PeerSettings>& aPeers,
         const HostId& aSelf,
         const std::string& aFolder,
         bool aFirstStart)
      : module(AgreementOptions{ aClock,
                                 metrics,
                                 sender,
                                 [] {},
                                 aSelf,
                                 aFolder,
                                 aPeers,
                                 { ControlGroupId() },
                                 kTiming,
                                 aFirstStart,
                                 5,
                                 std::chrono::seconds(1) })
    {
      this->module.AddMachine(ControlGroupId(), StateMachineId::Serving, this->machine);
    }

    NoMetrics metrics;
    BoundedSender sender;
    ServingStateMachine machine;
    AgreementModule module;
  };

  GroupCatchUpTest()
  {
    for (const char* name : { "a", "b", "c" }) {
      PeerSettings peer;
      peer.host = HostId(name);
      peer.disk = true;
      this->peers.push_back(peer);
      this->folders.try_emplace(peer.host, std::make_unique<TempFolder>(FolderInMemory()));
    }
    for (const PeerSettings& peer : this->peers) {
      this->Start(peer.host, true);
    }
    this->Run(kRecover);
  }

  void Start(const HostId& aHost, bool aFirstStart = false)
  {
    this->hosts[aHost] = std::make_unique<Host>(
      this->clock, this->peers, aHost, this->folders.at(aHost)->Path() + "/data", aFirstStart);
    EXPECT_TRUE(this->hosts.at(aHost)->module.Open());
  }

  void Stop(const HostId& aHost) { this->hosts.erase(aHost); }

  void LoseDisk(const HostId& aHost)
  {
    this->Stop(aHost);
    this->folders[aHost] = std::make_unique<TempFolder>(FolderInMemory());
  }

  // The host comes back with an empty disk, and has the time that it may take to catch up.
  void ReplaceDisk(const HostId& aHost)
  {
    this->LoseDisk(aHost);
    this->Run(std::chrono::seconds(2));
    this->Start(aHost);
    this->Run(kCatchUp);
  }

  void Run(Duration aTime)
  {
    for (Duration passed{}; passed < aTime; passed += kControlTick) {
      this->Step();
    }
  }

  void Step()
  {
    this->clock.Advance(kControlTick);
    for (auto& [name, host] : this->hosts) {
      host->module.OnTick(this->clock.MonotonicNow());
      host->module.WaitForWrites();
    }
    for (auto& [from, sender] : this->hosts) {
      for (const PeerSettings& peer : this->peers) {
        for (PeerMessage& message :
             sender->sender.Deliver(peer.host, kControlTick, this->linkBytesPerSecond)) {
          const auto found = this->hosts.find(peer.host);
          if (found != this->hosts.end()) {
            found->second->module.OnPeerMessage(from, message);
          }
        }
      }
    }
  }

  // Sends changes through one host, a few at a time, until all are acknowledged.
  void Change(const HostId& aHost, std::uint64_t aCount)
  {
    constexpr std::uint64_t kMaxOpen = 8;
    const std::uint64_t last = this->version + aCount;
    std::uint64_t open = 0;
    while (this->acknowledged < last) {
      for (; open < kMaxOpen && this->version < last; ++open) {
        this->Propose(aHost, [&] { --open; });
      }
      this->Step();
    }
  }

  // Sends the next change through one host.
  void Propose(
    const HostId& aHost,
    std::function<void()> aDone = [] {})
  {
    const Revision next(++this->version);
    const ServingCommand command = PutDocument{ next, std::string(this->documentBytes, 'x') };
    this->hosts.at(aHost)->module.Propose(
      ControlGroupId(),
      StateMachineId::Serving,
      EncodeServingCommand(command),
      std::chrono::seconds(60),
      [this, next, done = std::move(aDone)](const Result<std::string>& aAnswer) {
        EXPECT_TRUE(aAnswer);
        this->acknowledged = std::max(this->acknowledged, next.Value());
        done();
      });
  }

  HostId Leader()
  {
    for (const PeerSettings& peer : this->peers) {
      if (this->CoreOf(peer.host).Role() == RaftRole::Leader) {
        return peer.host;
      }
    }
    ADD_FAILURE() << "no leader";
    return this->a;
  }

  HostId Follower() { return this->Leader() == this->a ? this->b : this->a; }

  const RaftCore& CoreOf(const HostId& aHost)
  {
    return this->hosts.at(aHost)->module.ReplicaOf(ControlGroupId())->Core();
  }

  std::size_t ClosedConnections() const
  {
    std::size_t closed = 0;
    for (const auto& [name, host] : this->hosts) {
      closed += host->sender.closed;
    }
    return closed;
  }

  const HostId a{ "a" };
  const HostId b{ "b" };
  const HostId c{ "c" };
  ManualClock clock;
  std::vector<PeerSettings> peers;
  std::map<HostId, std::unique_ptr<TempFolder>> folders;
  std::map<HostId, std::unique_ptr<Host>> hosts;
  double linkBytesPerSecond = kLinkBytesPerSecond;
  std::size_t documentBytes = kDocumentBytes;
  std::uint64_t version = 0;
  std::uint64_t acknowledged = 0;
};

// Guards against a host that lost its disk and never votes again, because its leader sends it a
// long log faster than the connection bears.
TEST_F(GroupCatchUpTest, HostThatLostItsDiskVotesAgainAfterHundredsOfChanges)
{
  this->Change(this->a, kChanges);
  this->ReplaceDisk(this->c);
  EXPECT_TRUE(this->CoreOf(this->c).IsVoter());
  EXPECT_EQ(this->hosts.at(this->c)->machine.Version(), Revision(kChanges));
  EXPECT_EQ(this->ClosedConnections(), 0U);
}

// Guards against the same where the link is so slow that the leader's log takes longer than a host
// may take to catch up.
TEST_F(GroupCatchUpTest, HostThatLostItsDiskVotesAgainOverASlowLink)
{
  this->Change(this->a, kChanges);
  this->linkBytesPerSecond = kSlowLinkBytesPerSecond;
  this->ReplaceDisk(this->c);
  EXPECT_TRUE(this->CoreOf(this->c).IsVoter());
  EXPECT_EQ(this->hosts.at(this->c)->machine.Version(), Revision(kChanges));
  EXPECT_EQ(this->ClosedConnections(), 0U);
}

// Guards against a host that was cut off or down during many changes and never catches up.
TEST_F(GroupCatchUpTest, HostThatWasDownDuringHundredsOfChangesCatchesUp)
{
  this->Change(this->a, kChanges);
  this->Stop(this->c);
  this->Change(this->a, kChanges);
  this->Start(this->c);
  this->Run(kCatchUp);
  EXPECT_EQ(this->hosts.at(this->c)->machine.Version(), Revision(2 * kChanges));
  EXPECT_EQ(this->ClosedConnections(), 0U);
}

// Guards against large changes of several operators that reach no leader, because their host sends
// them all at once over a connection that does not hold as much.
TEST_F(GroupCatchUpTest, LargeChangesThroughAFollowerReachTheLeader)
{
  this->documentBytes = std::size_t{ 1'250'000 };
  const HostId follower = this->Follower();
  const MonotonicTime begun = this->clock.MonotonicNow();
  this->Change(follower, 8);
  EXPECT_LT(this->clock.MonotonicNow() - begun, kAcknowledgement);
  EXPECT_EQ(this->ClosedConnections(), 0U);
}

// Guards against a leader that loses its role, and a host that takes itself to be cut off, because
// heartbeats wait behind a large change on a slow link.
TEST_F(GroupCatchUpTest, LeaderKeepsItsRoleWhileALargeChangeIsSent)
{
  const HostId leader = this->Leader();
  const Term term = this->CoreOf(leader).CurrentTerm();
  this->linkBytesPerSecond = kSlowLinkBytesPerSecond;
  this->documentBytes = std::size_t{ 4 } * 1024 * 1024;
  this->Propose(leader);
  int steps = 0;
  while (this->acknowledged < this->version) {
    this->Step();
    ASSERT_EQ(this->CoreOf(leader).CurrentTerm(), term);
    // What is committed by a message is delivered at the next tick; there is no lease in between.
    steps = this->CoreOf(leader).LeaseHeld() ? 0 : steps + 1;
    ASSERT_LT(steps, 2);
  }
  EXPECT_EQ(this->ClosedConnections(), 0U);
}

// Guards against the same where the change comes through another host.
TEST_F(GroupCatchUpTest, LeaderKeepsItsRoleWhileAFollowerSendsItALargeChange)
{
  const HostId leader = this->Leader();
  const Term term = this->CoreOf(leader).CurrentTerm();
  this->linkBytesPerSecond = kSlowLinkBytesPerSecond;
  this->documentBytes = std::size_t{ 1'250'000 };
  for (const PeerSettings& peer : this->peers) {
    if (peer.host != leader) {
      this->Propose(peer.host);
    }
  }
  int steps = 0;
  while (this->acknowledged < this->version) {
    this->Step();
    ASSERT_EQ(this->CoreOf(leader).CurrentTerm(), term);
    // What is committed by a message is delivered at the next tick; there is no lease in between.
    steps = this->CoreOf(leader).LeaseHeld() ? 0 : steps + 1;
    ASSERT_LT(steps, 2);
  }
}

// Guards against an empty disk that takes longer than allowed because heartbeats, and what repeats
// with them, wait behind a large change.
TEST_F(GroupCatchUpTest, HostThatLostItsDiskVotesAgainWithALargeDocumentOverASlowLink)
{
  this->documentBytes = std::size_t{ 1'250'000 };
  this->Change(this->Leader(), 3);
  this->linkBytesPerSecond = kSlowLinkBytesPerSecond;
  const HostId follower = this->Follower();
  this->ReplaceDisk(follower);
  EXPECT_TRUE(this->CoreOf(follower).IsVoter());
  EXPECT_EQ(this->hosts.at(follower)->machine.Version(), Revision(3));
  EXPECT_EQ(this->ClosedConnections(), 0U);
}

// Guards against a group without a leader after a second disk is lost while all processes end.
TEST_F(GroupCatchUpTest, SecondLostDiskWithAllProcessesKilledLeavesALeaderAndTheNewestDocument)
{
  this->Change(this->a, kChanges);
  this->ReplaceDisk(this->c);
  this->Change(this->a, 10);
  this->LoseDisk(this->b);
  this->Stop(this->a);
  this->Stop(this->c);
  for (const PeerSettings& peer : this->peers) {
    this->Start(peer.host);
  }
  this->Run(kRecover);
  for (const PeerSettings& peer : this->peers) {
    EXPECT_TRUE(this->CoreOf(peer.host).HasRecentLeader());
    EXPECT_EQ(this->hosts.at(peer.host)->machine.Version(), Revision(this->acknowledged));
  }
}

} // namespace
} // namespace damasklink
