#include "program/EntryPicture.h"

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

class EntryPictureTest : public ::testing::Test
{
protected:
  EntryPictureTest()
  {
    this->picture.OnLink(kFirst, true);
    this->picture.OnLink(kSecond, true);
  }

  void PutInForce(std::uint64_t aVersion)
  {
    this->picture.PutInForce(ReadRoutes(this->dialect, Document(aVersion)).value());
  }

  void Name(std::uint64_t aVersion)
  {
    ServingUpdate told;
    told.weights[kModel] = aVersion;
    this->picture.Take(kFirst, told);
  }

  ManualClock clock;
  platform::Dialect dialect;
  EntryPicture picture{ this->clock };
};

TEST_F(EntryPictureTest, ConfigurationNeverGoesBackWhoeverTellsIt)
{
  EXPECT_EQ(this->picture.Routes(), nullptr);
  this->PutInForce(7);
  this->PutInForce(5);
  EXPECT_EQ(this->picture.Routes()->Config().version, Revision(7));
  this->PutInForce(9);
  EXPECT_EQ(this->picture.Routes()->Config().version, Revision(9));
}

TEST_F(EntryPictureTest, UnreadableDocumentLeavesWhatIsInForce)
{
  this->PutInForce(7);
  EXPECT_FALSE(ReadRoutes(this->dialect, "{\"version\":"));
  EXPECT_EQ(this->picture.Routes()->Config().version, Revision(7));
}

TEST_F(EntryPictureTest, PictureWithoutADocumentChangesNoRoutes)
{
  this->PutInForce(7);
  this->picture.Take(kFirst, ServingUpdate{});
  ASSERT_NE(this->picture.Routes(), nullptr);
}

TEST_F(EntryPictureTest, EachVersionOfWeightsAgesByItself)
{
  this->Name(2);
  this->clock.Advance(std::chrono::seconds(5));
  this->Name(3);
  this->clock.Advance(std::chrono::seconds(3));
  EXPECT_EQ(this->picture.WeightsOf(kModel), 3U);
  EXPECT_EQ(this->picture.WeightsKnownFor(kModel, std::chrono::seconds(7)), 2U);
  EXPECT_EQ(this->picture.WeightsKnownFor(kModel, std::chrono::seconds(9)), 0U);
  this->clock.Advance(std::chrono::seconds(5));
  EXPECT_EQ(this->picture.WeightsKnownFor(kModel, std::chrono::seconds(7)), 3U);
}

TEST_F(EntryPictureTest, OlderNameOfWeightsChangesNothing)
{
  this->Name(3);
  this->Name(2);
  EXPECT_EQ(this->picture.WeightsOf(kModel), 3U);
}

TEST_F(EntryPictureTest, HostsAreCountedByThoseThatAreConnected)
{
  ServingUpdate told;
  told.entryHosts = 9;
  this->picture.Take(kFirst, told);
  told.entryHosts = 4;
  this->picture.Take(kSecond, told);
  EXPECT_EQ(this->picture.EntryHosts(), 9U);
  this->picture.OnLink(kFirst, false);
  EXPECT_EQ(this->picture.EntryHosts(), 4U);
}

TEST_F(EntryPictureTest, StoredPartsOfALostControlHostAreForgotten)
{
  this->picture.ListenForStores(kFirst);
  this->picture.OnLink(kSecond, false);
  EXPECT_NE(this->picture.Stored(), nullptr);
  this->picture.OnLink(kFirst, false);
  EXPECT_EQ(this->picture.Stored(), nullptr);
  this->picture.OnLink(kFirst, true);
  EXPECT_EQ(this->picture.Stored(), nullptr) << "it has to be listened to again";
}

TEST_F(EntryPictureTest, OnlyTheChosenControlHostTellsOfStoredParts)
{
  const std::string config =
    R"({"version":1,"services":[{"name":"store","kv-store":"172.20.0.2:8006",)"
    R"("zone":"z","kv-capacity":1000,"link-mbps":1000}]})";
  this->picture.PutInForce(ReadRoutes(this->dialect, config).value());
  this->picture.ListenForStores(kFirst);
  ServingUpdate told;
  StoreUpdate& store = told.stores.emplace_back();
  store.store = Endpoint{ "172.20.0.2", 8006 };
  store.live = true;
  this->picture.Take(kSecond, told);
  EXPECT_EQ(this->picture.Stored()->CountLiveStores(), 0U);
  this->picture.Take(kFirst, told);
  EXPECT_EQ(this->picture.Stored()->CountLiveStores(), 1U);
  this->picture.ListenForStores(kSecond);
  EXPECT_EQ(this->picture.Stored()->CountLiveStores(), 0U)
    << "what another one told counts no more";
}

TEST_F(EntryPictureTest, ControlHostWithoutALeaderIsNotGood)
{
  this->picture.Take(kFirst, ServingUpdate());
  EXPECT_TRUE(this->picture.IsGood(kFirst));
  ServingUpdate isolated;
  isolated.isolated = true;
  this->picture.Take(kFirst, isolated);
  EXPECT_FALSE(this->picture.IsGood(kFirst));
  EXPECT_TRUE(this->picture.HasSpoken(kFirst));
  this->picture.Take(kFirst, ServingUpdate());
  EXPECT_TRUE(this->picture.IsGood(kFirst));
}

// A suspended process still has its connections accepted.
TEST_F(EntryPictureTest, ControlHostCountsOnlyOnceItHasSpokenOnItsConnection)
{
  EXPECT_FALSE(this->picture.HasSpoken(kFirst));
  EXPECT_FALSE(this->picture.IsGood(kFirst));
  ServingUpdate told;
  TargetUpdate& statement = told.targets.emplace_back();
  statement.record.id = TargetId("t");
  statement.record.service = ServiceName("s");
  this->picture.Take(kFirst, told);
  EXPECT_TRUE(this->picture.IsGood(kFirst));
  // Its last words from before do not stand against those of one that speaks.
  this->picture.OnLink(kFirst, false);
  this->picture.OnLink(kFirst, true);
  EXPECT_FALSE(this->picture.HasSpoken(kFirst));
  told.targets.front().standing = TargetAvailability::Silent;
  told.targets.push_back(told.targets.front());
  told.targets.back().record.id = TargetId("other");
  told.targets.back().standing = TargetAvailability::Usable;
  this->picture.Take(kSecond, told);
  ASSERT_EQ(this->picture.Targets().Usable(ServiceName("s")).size(), 1U);
  EXPECT_EQ(this->picture.Targets().Usable(ServiceName("s")).front().id, TargetId("other"));
}

TEST_F(EntryPictureTest, EvacuationsNeverGoBackWhoeverTellsThem)
{
  const ZoneId zone("hall");
  ServingUpdate newer;
  newer.evacuated = EvacuatedZones{ 2, { zone } };
  ServingUpdate older;
  older.evacuated = EvacuatedZones{ 1, {} };
  this->picture.Take(kFirst, newer);
  this->picture.Take(kSecond, older);
  EXPECT_EQ(this->picture.Targets().Evacuated(), std::set<ZoneId>{ zone });
  EXPECT_EQ(this->picture.TakeEvacuated(), std::set<ZoneId>{ zone });
  EXPECT_TRUE(this->picture.TakeEvacuated().empty());
  ServingUpdate returned;
  returned.evacuated = EvacuatedZones{ 3, {} };
  this->picture.Take(kSecond, returned);
  EXPECT_EQ(this->picture.TakeReturned(), std::set<ZoneId>{ zone });
  EXPECT_TRUE(this->picture.Targets().Evacuated().empty());
}

} // namespace
} // namespace damasklink
