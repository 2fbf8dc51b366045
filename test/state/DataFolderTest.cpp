#include "damasklink/state/DataFolder.h"

#include <gtest/gtest.h>

#include "support/FakeDisk.h"

namespace damasklink {
namespace {

using testing::FakeDisk;

TEST(DataFolderTest, KeepsItsIdentity)
{
  FakeDisk disk;
  ASSERT_TRUE(OpenDataFolder(disk, "data", ReplicaId(5)));
  EXPECT_EQ(OpenDataFolder(disk, "data", ReplicaId(6)).value().replica, ReplicaId(5));
}

TEST(DataFolderTest, EmptyFolderIsAnotherReplica)
{
  FakeDisk lost;
  ASSERT_TRUE(OpenDataFolder(lost, "data", ReplicaId(5)));
  FakeDisk fresh;
  EXPECT_EQ(OpenDataFolder(fresh, "data", ReplicaId(6)).value().replica, ReplicaId(6));
}

TEST(DataFolderTest, GroupsWithoutIdentityAreNamed)
{
  FakeDisk disk;
  ASSERT_TRUE(disk.Open("data/groups/control/synced"));
  auto opened = OpenDataFolder(disk, "data", ReplicaId(5));
  ASSERT_FALSE(opened);
  EXPECT_EQ(opened.error().kind, ErrorKind::Corrupt);
}

TEST(DataFolderTest, FlippedIdentityIsNamed)
{
  FakeDisk disk;
  ASSERT_TRUE(OpenDataFolder(disk, "data", ReplicaId(5)));
  disk.Content("data/identity").back() ^= 1;
  EXPECT_EQ(OpenDataFolder(disk, "data", ReplicaId(6)).error().kind, ErrorKind::Corrupt);
}

TEST(DataFolderTest, GroupsHaveFoldersOfTheirOwn)
{
  const DataFolder folder{ "data", ReplicaId(5) };
  EXPECT_EQ(folder.GroupFolder(GroupId("claims/hall")), "data/groups/claims%2fhall");
  EXPECT_NE(folder.GroupFolder(GroupId("a.b")), folder.GroupFolder(GroupId("a/b")));
}

} // namespace
} // namespace damasklink
