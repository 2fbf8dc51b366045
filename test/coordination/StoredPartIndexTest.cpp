#include "damasklink/coordination/StoredPartIndex.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

const ZoneId kZone("z");

SizedPart
Part(std::uint64_t aKey, std::uint64_t aTokens = 1000)
{
  return SizedPart{ PartKey(aKey), TokenCount(aTokens) };
}

class StoredPartIndexTest : public ::testing::Test
{
protected:
  StoredPartIndexTest()
  {
    this->services = { Store("10.0.0.1", "z", 100'000), Store("10.0.0.2", "y", 300'000) };
    this->stored.SetStores(this->services);
    this->Report("10.0.0.1", {});
    this->Report("10.0.0.2", {});
  }

  static ServingService Store(const std::string& aAddress,
                              const std::string& aZone,
                              std::uint64_t aTokens)
  {
    ServingService service;
    service.name = ServiceName(aAddress);
    PromptStoreSpec traits;
    traits.endpoint = Endpoint{ aAddress, 8006 };
    traits.zone = ZoneId(aZone);
    traits.cacheTokens = TokenCount(aTokens);
    traits.linkRate = 250'000;
    service.store = traits;
    return service;
  }

  void Report(const std::string& aAddress, std::vector<SizedPart> aParts, bool aLive = true)
  {
    this->stored.Apply(
      StoreUpdate{ Endpoint{ aAddress, 8006 }, aLive, true, std::move(aParts), {}, TokenCount() });
  }

  std::string Found(const SizedPart& aPart, const std::set<std::string>& aAvoided = {}) const
  {
    const PromptStore* store = this->stored.Find(aPart, kZone, aAvoided);
    return store == nullptr ? "" : store->traits.endpoint.address;
  }

  std::vector<ServingService> services;
  StoredPartIndex stored;
};

TEST_F(StoredPartIndexTest, FindsOnlyReportedParts)
{
  this->Report("10.0.0.2", { Part(1) });
  EXPECT_EQ(this->Found(Part(1)), "10.0.0.2");
  EXPECT_EQ(this->Found(Part(2)), "");
}

TEST_F(StoredPartIndexTest, DoesNotFindIncompletePart)
{
  this->Report("10.0.0.2", { Part(1, 400) });
  EXPECT_EQ(this->Found(Part(1, 1000)), "");
}

TEST_F(StoredPartIndexTest, PrefersStoreInOwnZone)
{
  this->Report("10.0.0.1", { Part(1) });
  this->Report("10.0.0.2", { Part(1) });
  EXPECT_EQ(this->Found(Part(1)), "10.0.0.1");
  EXPECT_EQ(this->Found(Part(1), { "10.0.0.1:8006" }), "10.0.0.2");
}

TEST_F(StoredPartIndexTest, FindsNothingInUnreachableStore)
{
  this->Report("10.0.0.2", { Part(1) });
  this->Report("10.0.0.2", {}, false);
  EXPECT_EQ(this->Found(Part(1)), "");
  this->Report("10.0.0.2", {});
  EXPECT_EQ(this->Found(Part(1)), "");
}

TEST_F(StoredPartIndexTest, PlacesPartsInProportionToLinkRate)
{
  this->services[0].store->linkRate = 100'000;
  this->services[1].store->linkRate = 300'000;
  this->services[0].store->cacheTokens = TokenCount(300'000);
  this->stored.SetStores(this->services);
  int faster = 0;
  for (std::uint64_t key = 0; key < 1000; ++key) {
    faster += this->stored.SelectStore(Part(key))->traits.endpoint.address == "10.0.0.2" ? 1 : 0;
  }
  EXPECT_NEAR(faster, 750, 60);
}

TEST_F(StoredPartIndexTest, PlacesNothingInFullStore)
{
  this->Report("10.0.0.2", { Part(9999, 299'000) });
  for (std::uint64_t key = 0; key < 100; ++key) {
    EXPECT_EQ(this->stored.SelectStore(Part(key))->traits.endpoint.address, "10.0.0.1");
  }
}

TEST_F(StoredPartIndexTest, DoesNotMovePartsOfUnreachableStore)
{
  std::uint64_t key = 0;
  while (this->stored.SelectStore(Part(key))->traits.endpoint.address != "10.0.0.2") {
    ++key;
  }
  this->Report("10.0.0.2", {}, false);
  EXPECT_EQ(this->stored.SelectStore(Part(key)), nullptr);
}

TEST_F(StoredPartIndexTest, ForgetsStoreRemovedFromConfiguration)
{
  this->Report("10.0.0.2", { Part(1) });
  this->services.pop_back();
  this->stored.SetStores(this->services);
  EXPECT_EQ(this->Found(Part(1)), "");
}

TEST_F(StoredPartIndexTest, CountsReservedSpaceAsUsed)
{
  StoreUpdate update;
  update.store = Endpoint{ "10.0.0.1", 8006 };
  update.live = true;
  update.reserved = TokenCount(99'500);
  this->stored.Apply(update);
  for (std::uint64_t key = 1; key <= 100; ++key) {
    EXPECT_EQ(this->stored.SelectStore(Part(key))->name, "10.0.0.2:8006");
  }
}

} // namespace
} // namespace damasklink
