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
  StoreLease Request(const HostId& aHost, int aSeconds, Duration aLength = seconds(5))
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
  EXPECT_EQ(this->Request(kFirst, 100).owner, kFirst);
  EXPECT_EQ(this->Request(kSecond, 104).owner, kFirst);
  EXPECT_EQ(this->Request(kSecond, 105).owner, kSecond);
}

TEST_F(StoreLeasesTest, RenewalKeepsFencingNumber)
{
  const StoreLease first = this->Request(kFirst, 100);
  const StoreLease renewed = this->Request(kFirst, 103);
  EXPECT_EQ(renewed.fencing, first.fencing);
  EXPECT_EQ(renewed.until, WallTime(seconds(108)));
}

TEST_F(StoreLeasesTest, ChangeOfOwnerRaisesFencingNumber)
{
  const StoreLease first = this->Request(kFirst, 100);
  const StoreLease second = this->Request(kSecond, 110);
  const StoreLease again = this->Request(kFirst, 120);
  EXPECT_LT(first.fencing, second.fencing);
  EXPECT_LT(second.fencing, again.fencing);
}

TEST_F(StoreLeasesTest, GrantAfterExpiryRaisesFencingNumber)
{
  const StoreLease first = this->Request(kFirst, 100);
  EXPECT_LT(first.fencing, this->Request(kFirst, 106).fencing);
}

TEST_F(StoreLeasesTest, ReleasedLeaseIsAvailableAtOnce)
{
  this->Request(kFirst, 100);
  this->Request(kFirst, 101, Duration(0));
  EXPECT_EQ(this->Request(kSecond, 101).owner, kSecond);
}

TEST_F(StoreLeasesTest, OnlyOwnerCanRelease)
{
  this->Request(kFirst, 100);
  this->Request(kSecond, 101, Duration(0));
  EXPECT_EQ(this->Request(kSecond, 102).owner, kFirst);
}

TEST_F(StoreLeasesTest, SnapshotRestoresLeases)
{
  const StoreLease lease = this->Request(kFirst, 100);
  StoreLeases other;
  ASSERT_TRUE(other.Load(this->leases.Save()));
  EXPECT_EQ(other.Find(kStore), lease);
}

RC_GTEST_PROP(StoreLeasesProperty, TruncatedSnapshotLeavesLeasesUnchanged, ())
{
  StoreLeases leases;
  const ApplyContext context{ GroupId("g"), LogIndex(1), Term(1), WallTime(seconds(9)) };
  leases.Apply(context, EncodeLeaseCommand({ kStore, kFirst, seconds(5) }));
  const std::string snapshot = leases.Save();
  const auto length = *rc::gen::inRange<std::size_t>(1, snapshot.size());
  StoreLeases other;
  other.Apply(context, EncodeLeaseCommand({ kStore, kSecond, seconds(5) }));
  RC_ASSERT(!other.Load(snapshot.substr(0, length)));
  RC_ASSERT(other.Find(kStore)->owner == kSecond);
}

} // namespace
} // namespace damasklink
