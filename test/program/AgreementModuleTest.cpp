#include "program/AgreementModule.h"

#include <atomic>
#include <map>

#include <gtest/gtest.h>

#include "damasklink/coordination/GroupPlacement.h"
#include "damasklink/coordination/ServingStateMachine.h"
#include "support/FullDisk.h"
#include "support/ListMachine.h"
#include "support/TempFolder.h"

namespace damasklink {
namespace {

using testing::ListMachine;
using testing::TempFolder;

const GroupId kClaims = ClaimsGroupId(ZoneId("north"));

// Queues the messages of a host until the test delivers them.
class QueueSender final : public PeerSender
{
public:
  void Send(const HostId& aTo, PeerMessage aMessage) override
  {
    this->queue.emplace_back(aTo, std::move(aMessage));
  }

  std::vector<std::pair<HostId, PeerMessage>> queue;
};

// An AgreementModule with its context. Of the threads of a host only the log writer runs; the test
// calls OnTick().
struct TestHost
{
  TestHost(const HostSettings& aSettings, const Clock& aClock)
    : settings(aSettings)
    , control(aClock, 16)
    , publisher(views)
    , context{ settings, aClock, metrics, control, sender, views, publisher, phase }
    , module(context)
  {
    this->module.AddMachine(ControlGroupId(), StateMachineId::Configuration, this->configuration);
    this->module.AddMachine(kClaims, StateMachineId::Claims, this->claims);
  }

  HostSettings settings;
  NoMetrics metrics;
  ControlLoop control;
  QueueSender sender;
  TrafficViewHolder views;
  ViewPublisher publisher;
  std::atomic<HostPhase> phase{ HostPhase::Ready };
  HostContext context;
  ListMachine configuration;
  ListMachine claims;
  AgreementModule module;
};

// Zone north has host a with a disk and host d without one. Hosts b and c have disks in other
// zones.
class AgreementModuleTest : public ::testing::Test
{
protected:
  AgreementModuleTest()
  {
    const std::map<std::string, std::string> zones{
      { "a", "north" }, { "b", "south" }, { "c", "east" }, { "d", "north" }
    };
    for (const auto& [host, zone] : zones) {
      PeerSettings peer;
      peer.host = HostId(host);
      peer.zone = ZoneId(zone);
      peer.disk = host != "d";
      this->peers.push_back(peer);
    }
    for (const PeerSettings& peer : this->peers) {
      EXPECT_TRUE(this->Start(peer.host));
    }
  }

  Result<void> Start(const HostId& aHost)
  {
    HostSettings settings;
    settings.host = aHost;
    settings.peers = this->peers;
    if (aHost != HostId("d")) {
      settings.dataFolder = this->folders[aHost].Path() + "/data";
    }
    auto host = std::make_unique<TestHost>(settings, this->clock);
    auto opened = host->module.Open();
    if (opened) {
      this->hosts[aHost] = std::move(host);
    }
    return opened;
  }

  // Advances the clock by aTime in ticks. In each tick all hosts run, their writes are completed
  // and their messages delivered.
  void Run(Duration aTime)
  {
    for (Duration passed{}; passed < aTime; passed += kControlTick) {
      this->clock.Advance(kControlTick);
      for (auto& [host, running] : this->hosts) {
        running->module.OnTick(this->clock.MonotonicNow());
        running->module.WaitForWrites();
      }
      for (auto& [host, running] : this->hosts) {
        for (auto& [to, message] : std::exchange(running->sender.queue, {})) {
          const auto found = this->hosts.find(to);
          if (found != this->hosts.end()) {
            found->second->module.OnPeerMessage(host, message);
          }
        }
      }
    }
  }

  // Proposes a command and returns the answer, or the name of the error.
  std::string Propose(const std::string& aHost, const GroupId& aGroup, StateMachineId aMachineId)
  {
    std::string outcome;
    this->hosts.at(HostId(aHost))
      ->module.Propose(aGroup,
                       aMachineId,
                       "command",
                       std::chrono::seconds(4),
                       [&](const Result<std::string>& aAnswer) {
                         outcome = aAnswer ? aAnswer.value()
                                           : std::string(ErrorKindName(aAnswer.error().kind));
                       });
    this->Run(std::chrono::seconds(5));
    return outcome;
  }

  TestHost& Host(const std::string& aHost) { return *this->hosts.at(HostId(aHost)); }

  ManualClock clock;
  std::vector<PeerSettings> peers;
  std::map<HostId, TempFolder> folders;
  std::map<HostId, std::unique_ptr<TestHost>> hosts;
};

TEST_F(AgreementModuleTest, ProposesToEveryGroupFromHostWithoutDisk)
{
  EXPECT_EQ(this->Propose("d", ControlGroupId(), StateMachineId::Configuration), "command");
  EXPECT_EQ(this->Propose("d", kClaims, StateMachineId::Claims), "command");
  EXPECT_EQ(this->Host("a").claims.commands.size(), 1U);
  EXPECT_EQ(this->Host("c").configuration.commands.size(), 1U);
  EXPECT_EQ(this->Host("d").module.Status(kClaims).leader, HostId("a"));
}

TEST_F(AgreementModuleTest, RefusesCommandForUnregisteredStateMachine)
{
  EXPECT_EQ(this->Propose("d", kClaims, StateMachineId::Leases), "unavailable");
}

TEST_F(AgreementModuleTest, IsolatedZoneContinuesToCommitClaims)
{
  this->Run(std::chrono::seconds(6));
  this->hosts.erase(HostId("b"));
  this->hosts.erase(HostId("c"));
  this->Run(std::chrono::seconds(6));
  EXPECT_EQ(this->Propose("d", kClaims, StateMachineId::Claims), "command");
  EXPECT_NE(this->Propose("a", ControlGroupId(), StateMachineId::Configuration), "command");
  EXPECT_FALSE(this->Host("a").module.Status(ControlGroupId()).leaseHeld);
}

TEST_F(AgreementModuleTest, RestoresStateAfterRestart)
{
  this->Propose("a", kClaims, StateMachineId::Claims);
  this->hosts.erase(HostId("a"));
  ASSERT_TRUE(this->Start(HostId("a")));
  this->Run(std::chrono::seconds(6));
  EXPECT_EQ(this->Host("a").claims.commands.size(), 1U);
  EXPECT_EQ(this->Propose("a", kClaims, StateMachineId::Claims), "command");
  EXPECT_EQ(this->Host("a").claims.last.incarnation, Incarnation(1));
}

TEST_F(AgreementModuleTest, AssignsNewIncarnationToClaimsGroupThatLostItsDisks)
{
  this->Propose("a", kClaims, StateMachineId::Claims);
  const WallTime before = this->clock.WallNow();
  this->hosts.erase(HostId("a"));
  this->folders.erase(HostId("a"));
  ASSERT_TRUE(this->Start(HostId("a")));
  this->Run(std::chrono::seconds(10));
  EXPECT_EQ(this->Propose("d", kClaims, StateMachineId::Claims), "command");
  EXPECT_EQ(this->Host("a").claims.last.incarnation, Incarnation(2));
  EXPECT_GT(this->Host("a").claims.last.formedAt, before);
}

TEST_F(AgreementModuleTest, RefusesDataFolderInUse)
{
  auto second = this->Start(HostId("a"));
  ASSERT_FALSE(second);
  EXPECT_EQ(second.error().kind, ErrorKind::Conflict);
}

TEST_F(AgreementModuleTest, IgnoresDamagedMessage)
{
  this->Host("a").module.OnPeerMessage(
    HostId("b"), PeerMessage{ Channel::Agreement, ControlGroupId(), "damaged" });
  EXPECT_EQ(this->Propose("a", ControlGroupId(), StateMachineId::Configuration), "command");
}

// Three hosts, each with a disk that a test can fill. A replica whose disk is full is reopened
// until the disk has space.
class FullDiskTest : public ::testing::Test
{
protected:
  struct FillableHost
  {
    FillableHost(const Clock& aClock, const std::vector<PeerSettings>& aPeers, HostId aSelf)
      : self(std::move(aSelf))
      , module(AgreementOptions{ aClock,
                                 metrics,
                                 sender,
                                 [] {},
                                 self,
                                 folder.Path() + "/data",
                                 aPeers,
                                 { ControlGroupId() },
                                 RaftTiming(),
                                 true,
                                 std::nullopt,
                                 std::chrono::seconds(1) },
               std::make_unique<testing::FullDisk>(full))
    {
      this->module.AddMachine(ControlGroupId(), StateMachineId::Serving, this->machine);
    }

    HostId self;
    std::atomic<bool> full{ false };
    TempFolder folder;
    NoMetrics metrics;
    QueueSender sender;
    ServingStateMachine machine;
    AgreementModule module;
  };

  FullDiskTest()
  {
    for (const char* name : { "a", "b", "c" }) {
      PeerSettings peer;
      peer.host = HostId(name);
      peer.disk = true;
      this->peers.push_back(peer);
    }
    for (const PeerSettings& peer : this->peers) {
      this->hosts[peer.host] = std::make_unique<FillableHost>(this->clock, this->peers, peer.host);
      EXPECT_TRUE(this->hosts[peer.host]->module.Open());
    }
  }

  void Run(Duration aTime)
  {
    for (Duration passed{}; passed < aTime; passed += kControlTick) {
      this->clock.Advance(kControlTick);
      for (auto& [name, host] : this->hosts) {
        host->module.OnTick(this->clock.MonotonicNow());
        host->module.WaitForWrites();
      }
      for (auto& [name, host] : this->hosts) {
        for (auto& [to, message] : std::exchange(host->sender.queue, {})) {
          this->hosts.at(to)->module.OnPeerMessage(name, message);
        }
      }
    }
  }

  // Proposes a document and returns whether it was acknowledged.
  bool Put(const std::string& aHost, std::uint64_t aVersion)
  {
    bool acknowledged = false;
    const ServingCommand command = PutDocument{ Revision(aVersion), "document" };
    this->hosts.at(HostId(aHost))
      ->module.Propose(ControlGroupId(),
                       StateMachineId::Serving,
                       EncodeServingCommand(command),
                       std::chrono::seconds(4),
                       [&](const Result<std::string>& aAnswer) { acknowledged = bool(aAnswer); });
    this->Run(std::chrono::seconds(5));
    return acknowledged;
  }

  FillableHost& Host(const std::string& aName) { return *this->hosts.at(HostId(aName)); }

  bool IsRunning(const std::string& aName)
  {
    return !this->Host(aName).module.ReplicaOf(ControlGroupId())->Failure();
  }

  ManualClock clock;
  std::vector<PeerSettings> peers;
  std::map<HostId, std::unique_ptr<FillableHost>> hosts;
};

TEST_F(FullDiskTest, ReopensReplicaAndCatchesUpWhenDiskHasSpace)
{
  ASSERT_TRUE(this->Put("a", 1));
  this->Host("b").full = true;
  EXPECT_TRUE(this->Put("a", 2));
  EXPECT_FALSE(this->IsRunning("b"));
  EXPECT_FALSE(this->Host("b").module.FailureOf(ControlGroupId()));
  this->Host("b").full = false;
  this->Run(std::chrono::seconds(5));
  EXPECT_TRUE(this->IsRunning("b"));
  EXPECT_EQ(this->Host("b").machine.Version(), Revision(2));
}

// While two of three disks are full, nothing may be acknowledged, and no acknowledged document may
// be lost.
TEST_F(FullDiskTest, AcknowledgesNothingWithoutMajorityOfDisks)
{
  ASSERT_TRUE(this->Put("a", 1));
  this->Host("b").full = true;
  this->Host("c").full = true;
  EXPECT_FALSE(this->Put("a", 2));
  this->Host("b").full = false;
  this->Host("c").full = false;
  EXPECT_TRUE(this->Put("a", 3));
  for (const char* name : { "a", "b", "c" }) {
    EXPECT_EQ(this->Host(name).machine.Version(), Revision(3));
  }
}

// All disks are full at once, several times. Documents acknowledged before must remain.
TEST_F(FullDiskTest, KeepsAcknowledgedDocumentsWhenAllDisksFill)
{
  for (std::uint64_t version = 1; version < 8; version += 2) {
    ASSERT_TRUE(this->Put("a", version));
    for (auto& [name, host] : this->hosts) {
      host->full = true;
    }
    EXPECT_FALSE(this->Put("b", version + 1));
    for (auto& [name, host] : this->hosts) {
      host->full = false;
    }
    this->Run(std::chrono::seconds(5));
    for (auto& [name, host] : this->hosts) {
      EXPECT_GE(host->machine.Version(), Revision(version));
    }
  }
}

} // namespace
} // namespace damasklink
