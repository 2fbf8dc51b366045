#include "damasklink/state/TreeFile.h"

#include <filesystem>

#include <gtest/gtest.h>
#include <unistd.h>

namespace damasklink {
namespace {

class TreeFileTest : public testing::Test
{
protected:
  TreeFileTest()
    : folder(std::filesystem::temp_directory_path() / ("tree-file-" + std::to_string(::getpid())))
  {
  }
  ~TreeFileTest() override { std::filesystem::remove_all(this->folder); }

  static RevisionedTree TreeAt(std::uint64_t aRevision)
  {
    RevisionedTree tree;
    tree.Apply({ Revision(aRevision),
                 { WorkspaceSubtree(WorkspaceId("w")),
                   std::make_shared<const SubtreeContent>(WorkspaceNode()) } });
    return tree;
  }

  std::string Path() const { return this->folder / "configuration.tree"; }

  std::filesystem::path folder;
  PosixDisk disk;
  TreeFile file{ this->disk, this->folder };
};

TEST_F(TreeFileTest, ReadsBackTheLastTree)
{
  EXPECT_EQ(this->file.Read().value().Current(), Revision());
  ASSERT_TRUE(this->file.Write(TreeAt(3)));
  ASSERT_TRUE(this->file.Write(TreeAt(4)));
  const RevisionedTree read = this->file.Read().value();
  EXPECT_EQ(read.Current(), Revision(4));
  EXPECT_NE(read.Workspace(WorkspaceId("w")), nullptr);
}

TEST_F(TreeFileTest, EveryFlippedBitAndEveryCutIsANamedError)
{
  ASSERT_TRUE(this->file.Write(TreeAt(3)));
  const std::string whole = this->disk.Read(this->Path()).value();
  for (std::size_t index = 0; index < whole.size(); ++index) {
    auto open = this->disk.Open(this->Path());
    ASSERT_TRUE(
      open.value()->Overwrite(index, std::string(1, static_cast<char>(whole[index] ^ 1))));
    EXPECT_FALSE(this->file.Read()) << index;
    ASSERT_TRUE(open.value()->Overwrite(index, std::string(1, whole[index])));
  }
  ASSERT_TRUE(this->file.Read());
  ASSERT_TRUE(this->disk.Truncate(this->Path(), whole.size() - 1));
  const auto read = this->file.Read();
  ASSERT_FALSE(read);
  EXPECT_NE(read.error().message.find("configuration.tree"), std::string::npos);
  EXPECT_FALSE(read.error().remedy.empty());
}

} // namespace
} // namespace damasklink
