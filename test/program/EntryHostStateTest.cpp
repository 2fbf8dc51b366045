#include "program/EntryHostState.h"

#include <gtest/gtest.h>

#include "platform/Dialect.h"

namespace damasklink {
namespace {

const HostId kFirst("control-1");
const HostId kSecond("control-2");
const ModelName kModel("m");

std::string
Document(std::uint64_t aVersion)
{
  return "{\"version\":" + std::to_string(aVersion) + "}";
}

class EntryHostStateTest : public ::testing::Test
{
protected:
  EntryHostStateTest()
  {
    this->state.OnConnection(kFirst, true);
    this->state.OnConnection(kSecond, true);
  }

  void InstallRoutes(std::uint64_t aVersion)
  {
    this->state.InstallRoutes(ReadRoutes(this->dialect, Document(aVersion)).value());
  }

  void AnnounceWeights(std::uint64_t aVersion)
  {
    ServingUpdate update;
    update.weights = { AnnouncedWeights{ kModel, aVersion, Duration::zero() } };
    this->state.Apply(kFirst, update);
  }

  ManualClock clock;
  platform::Dialect dialect;
  EntryHostState state{ this->clock };
};

TEST_F(EntryHostStateTest, IgnoresOlderConfiguration)
{
  EXPECT_EQ(this->state.Routes(), nullptr);
  this->InstallRoutes(7);
  this->InstallRoutes(5);
  EXPECT_EQ(this->state.Routes()->Config().version, Revision(7));
  this->InstallRoutes(9);
  EXPECT_EQ(this->state.Routes()->Config().version, Revision(9));
}

TEST_F(EntryHostStateTest, UnreadableDocumentKeepsCurrentConfiguration)
{
  this->InstallRoutes(7);
  EXPECT_FALSE(ReadRoutes(this->dialect, "{\"version\":"));
  EXPECT_EQ(this->state.Routes()->Config().version, Revision(7));
}

TEST_F(EntryHostStateTest, UpdateWithoutDocumentKeepsRoutes)
{
  this->InstallRoutes(7);
  this->state.Apply(kFirst, ServingUpdate{});
  ASSERT_NE(this->state.Routes(), nullptr);
}

TEST_F(EntryHostStateTest, TracksAgeOfEachWeightVersion)
{
  this->AnnounceWeights(2);
  this->clock.Advance(std::chrono::seconds(5));
  this->AnnounceWeights(3);
  this->clock.Advance(std::chrono::seconds(3));
  EXPECT_EQ(this->state.WeightVersionOf(kModel), 3U);
  EXPECT_EQ(this->state.WeightVersionOfAge(kModel, std::chrono::seconds(7)), 2U);
  EXPECT_EQ(this->state.WeightVersionOfAge(kModel, std::chrono::seconds(9)), 0U);
  this->clock.Advance(std::chrono::seconds(5));
  EXPECT_EQ(this->state.WeightVersionOfAge(kModel, std::chrono::seconds(7)), 3U);
}

// Guards against a restarted host that allows older weights for the whole time once more.
TEST_F(EntryHostStateTest, AgeOfWeightsCountsFromTheirAcknowledgement)
{
  ServingUpdate update;
  update.weights = { AnnouncedWeights{ kModel, 2, std::chrono::seconds(8) },
                     AnnouncedWeights{ kModel, 3, std::chrono::seconds(4) } };
  this->state.Apply(kFirst, update);
  this->clock.Advance(std::chrono::seconds(1));
  EXPECT_EQ(this->state.WeightVersionOfAge(kModel, std::chrono::seconds(9)), 2U);
  EXPECT_EQ(this->state.WeightVersionOf(kModel), 3U);
}

// Guards against a host that allows weights whose age it does not know, as when it hears first from
// a control host that was restarted, too.
TEST_F(EntryHostStateTest, WeightsOfUnknownAgeCountAsOld)
{
  ServingUpdate update;
  update.weights = { AnnouncedWeights{ kModel, 2, std::nullopt } };
  this->state.Apply(kFirst, update);
  EXPECT_EQ(this->state.WeightVersionOfAge(kModel, std::chrono::seconds(9)), 2U);
  update.weights = { AnnouncedWeights{ kModel, 2, std::chrono::seconds(1) } };
  this->state.Apply(kSecond, update);
  EXPECT_EQ(this->state.WeightVersionOfAge(kModel, std::chrono::seconds(9)), 0U);
}

// Guards against calls on old weights during an election, or before the host has heard of a leader.
TEST_F(EntryHostStateTest, LackOfAHealthyControlHostCountsFromItsLoss)
{
  EXPECT_TRUE(this->state.HadHealthyControlHost(std::chrono::seconds(5))) << "it has just started";
  this->clock.Advance(std::chrono::seconds(5));
  EXPECT_FALSE(this->state.HadHealthyControlHost(std::chrono::seconds(5)));
  ServingUpdate update;
  this->state.Apply(kFirst, update);
  this->clock.Advance(std::chrono::seconds(30));
  update.isolated = true;
  this->state.Apply(kFirst, update);
  this->clock.Advance(std::chrono::seconds(4));
  EXPECT_TRUE(this->state.HadHealthyControlHost(std::chrono::seconds(5)));
  this->clock.Advance(std::chrono::seconds(1));
  EXPECT_FALSE(this->state.HadHealthyControlHost(std::chrono::seconds(5)));
}

TEST_F(EntryHostStateTest, IgnoresOlderWeightVersion)
{
  this->AnnounceWeights(3);
  this->AnnounceWeights(2);
  EXPECT_EQ(this->state.WeightVersionOf(kModel), 3U);
}

TEST_F(EntryHostStateTest, CountsEntryHostsReportedByConnectedControlHosts)
{
  ServingUpdate update;
  update.entryHosts = 9;
  this->state.Apply(kFirst, update);
  update.entryHosts = 4;
  this->state.Apply(kSecond, update);
  EXPECT_EQ(this->state.EntryHosts(), 9U);
  this->state.OnConnection(kFirst, false);
  EXPECT_EQ(this->state.EntryHosts(), 4U);
}

TEST_F(EntryHostStateTest, DropsStoredPartsWhenTheirControlHostDisconnects)
{
  this->state.SelectStoreSource(kFirst);
  this->state.OnConnection(kSecond, false);
  EXPECT_NE(this->state.Stored(), nullptr);
  this->state.OnConnection(kFirst, false);
  EXPECT_EQ(this->state.Stored(), nullptr);
  this->state.OnConnection(kFirst, true);
  EXPECT_EQ(this->state.Stored(), nullptr) << "must be selected again after a reconnection";
}

TEST_F(EntryHostStateTest, TakesStoredPartsFromSelectedControlHostOnly)
{
  const std::string config =
    R"({"version":1,"services":[{"name":"store","kv-store":"172.20.0.2:8006",)"
    R"("zone":"z","kv-capacity":1000,"link-mbps":1000}]})";
  this->state.InstallRoutes(ReadRoutes(this->dialect, config).value());
  this->state.SelectStoreSource(kFirst);
  ServingUpdate update;
  StoreUpdate& store = update.stores.emplace_back();
  store.store = Endpoint{ "172.20.0.2", 8006 };
  store.live = true;
  this->state.Apply(kSecond, update);
  EXPECT_EQ(this->state.Stored()->CountLiveStores(), 0U);
  this->state.Apply(kFirst, update);
  EXPECT_EQ(this->state.Stored()->CountLiveStores(), 1U);
  this->state.SelectStoreSource(kSecond);
  EXPECT_EQ(this->state.Stored()->CountLiveStores(), 0U)
    << "reports of the host selected before are dropped";
}

TEST_F(EntryHostStateTest, IsolatedControlHostIsNotHealthy)
{
  this->state.Apply(kFirst, ServingUpdate());
  EXPECT_TRUE(this->state.IsHealthy(kFirst));
  ServingUpdate isolated;
  isolated.isolated = true;
  this->state.Apply(kFirst, isolated);
  EXPECT_FALSE(this->state.IsHealthy(kFirst));
  EXPECT_TRUE(this->state.HasReported(kFirst));
  this->state.Apply(kFirst, ServingUpdate());
  EXPECT_TRUE(this->state.IsHealthy(kFirst));
}

// The kernel accepts connections for a suspended process, so a connection proves nothing.
TEST_F(EntryHostStateTest, ControlHostIsNotHealthyBeforeFirstUpdateOnItsConnection)
{
  EXPECT_FALSE(this->state.HasReported(kFirst));
  EXPECT_FALSE(this->state.IsHealthy(kFirst));
  ServingUpdate update;
  TargetUpdate& target = update.targets.emplace_back();
  target.record.id = TargetId("t");
  target.record.service = ServiceName("s");
  this->state.Apply(kFirst, update);
  EXPECT_TRUE(this->state.IsHealthy(kFirst));
  // What it reported on an earlier connection does not outweigh a host that reports now.
  this->state.OnConnection(kFirst, false);
  this->state.OnConnection(kFirst, true);
  EXPECT_FALSE(this->state.HasReported(kFirst));
  update.targets.front().standing = TargetAvailability::Silent;
  update.targets.push_back(update.targets.front());
  update.targets.back().record.id = TargetId("other");
  update.targets.back().standing = TargetAvailability::Usable;
  this->state.Apply(kSecond, update);
  ASSERT_EQ(this->state.Targets().Usable(ServiceName("s")).size(), 1U);
  EXPECT_EQ(this->state.Targets().Usable(ServiceName("s")).front().id, TargetId("other"));
}

TEST_F(EntryHostStateTest, IgnoresOlderEvacuations)
{
  const ZoneId zone("hall");
  ServingUpdate newer;
  newer.evacuated = EvacuatedZones{ 2, { zone } };
  ServingUpdate older;
  older.evacuated = EvacuatedZones{ 1, {} };
  this->state.Apply(kFirst, newer);
  this->state.Apply(kSecond, older);
  EXPECT_EQ(this->state.Targets().Evacuated(), std::set<ZoneId>{ zone });
  EXPECT_EQ(this->state.TakeEvacuated(), std::set<ZoneId>{ zone });
  EXPECT_TRUE(this->state.TakeEvacuated().empty());
  ServingUpdate returned;
  returned.evacuated = EvacuatedZones{ 3, {} };
  this->state.Apply(kSecond, returned);
  EXPECT_EQ(this->state.TakeReturned(), std::set<ZoneId>{ zone });
  EXPECT_TRUE(this->state.Targets().Evacuated().empty());
}

} // namespace
} // namespace damasklink
