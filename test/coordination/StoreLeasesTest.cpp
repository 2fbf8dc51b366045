#include "damasklink/coordination/StoreLeases.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace damasklink {
namespace {

using std::chrono::seconds;

const StoreId kStore("store-1");
const HostId kFirst("hall-north-1");
const HostId kSecond("hall-north-2");

class StoreLeasesTest : public testing::Test
{
protected:
  StoreLease Ask(const HostId& aHost, int aSeconds, Duration aLength = seconds(5))
  {
    const ApplyContext context{
      ClaimsGroupId(ZoneId("hall-north")), LogIndex(1), Term(1), WallTime(seconds(aSeconds))
    };
    const LeaseCommand command{ kStore, aHost, aLength };
    return DecodeLease(this->leases.Apply(context, EncodeLeaseCommand(command))).value();
  }

  StoreLeases leases;
};

TEST_F(StoreLeasesTest, GrantsOneOwnerUntilLeaseExpires)
{
  EXPECT_EQ(this->Ask(kFirst, 100).owner, kFirst);
  EXPECT_EQ(this->Ask(kSecond, 104).owner, kFirst);
  EXPECT_EQ(this->Ask(kSecond, 105).owner, kSecond);
}

TEST_F(StoreLeasesTest, RenewalKeepsFencingNumber)
{
  const StoreLease first = this->Ask(kFirst, 100);
  const StoreLease renewed = this->Ask(kFirst, 103);
  EXPECT_EQ(renewed.fencing, first.fencing);
  EXPECT_EQ(renewed.until, WallTime(seconds(108)));
}

TEST_F(StoreLeasesTest, ChangeOfOwnerRaisesFencingNumber)
{
  const StoreLease first = this->Ask(kFirst, 100);
  const StoreLease second = this->Ask(kSecond, 110);
  const StoreLease again = this->Ask(kFirst, 120);
  EXPECT_LT(first.fencing, second.fencing);
  EXPECT_LT(second.fencing, again.fencing);
}

TEST_F(StoreLeasesTest, GrantAfterExpiryRaisesFencingNumber)
{
  const StoreLease first = this->Ask(kFirst, 100);
  EXPECT_LT(first.fencing, this->Ask(kFirst, 106).fencing);
}

TEST_F(StoreLeasesTest, ReleasedLeaseIsAvailableAtOnce)
{
  this->Ask(kFirst, 100);
  this->Ask(kFirst, 101, Duration(0));
  EXPECT_EQ(this->Ask(kSecond, 101).owner, kSecond);
}

TEST_F(StoreLeasesTest, OnlyOwnerCanRelease)
{
  this->Ask(kFirst, 100);
  this->Ask(kSecond, 101, Duration(0));
  EXPECT_EQ(this->Ask(kSecond, 102).owner, kFirst);
}

TEST_F(StoreLeasesTest, SnapshotRestoresLeases)
{
  const StoreLease lease = this->Ask(kFirst, 100);
  StoreLeases other;
  ASSERT_TRUE(other.Load(this->leases.Save()));
  EXPECT_EQ(other.Find(kStore), lease);
}

RC_GTEST_PROP(StoreLeasesProperty, TruncatedSnapshotLeavesLeasesUnchanged, ())
{
  StoreLeases leases;
  const ApplyContext context{ GroupId("g"), LogIndex(1), Term(1), WallTime(seconds(9)) };
  leases.Apply(context, EncodeLeaseCommand({ kStore, kFirst, seconds(5) }));
  const std::string whole = leases.Save();
  const auto cut = *rc::gen::inRange<std::size_t>(1, whole.size());
  StoreLeases other;
  other.Apply(context, EncodeLeaseCommand({ kStore, kSecond, seconds(5) }));
  RC_ASSERT(!other.Load(whole.substr(0, cut)));
  RC_ASSERT(other.Find(kStore)->owner == kSecond);
}

} // namespace
} // namespace damasklink
