#include "damasklink/coordination/BlockHeader.h"

#include <vector>

#include <gtest/gtest.h>

#include "damasklink/state/Digests.h"

namespace damasklink {
namespace {

TEST(CheckBlockTest, RejectsMismatchInAnyField)
{
  const BlockScope scope{
    WorkspaceId("water"), ModelName("m"), WeightVersion("v1"), AdapterName()
  };
  const Digest block = DigestOf("block 1");
  const std::string content = "8 bytes.";
  const BlockHeader ordered{ block, scope, Generation(3), ByteCount(8), ChecksumOf(content) };
  EXPECT_TRUE(CheckBlock(ordered, ordered, content));
  std::vector<BlockHeader> wrong(8, ordered);
  wrong[0].block = DigestOf("block 2");
  wrong[1].scope.workspace = WorkspaceId("plates");
  wrong[2].scope.version = WeightVersion("v2");
  wrong[3].scope.model = ModelName("n");
  wrong[4].scope.adapter = AdapterName("a");
  wrong[5].generation = Generation(4);
  wrong[6].length = ByteCount(7);
  wrong[7].checksum = Checksum(1);
  for (std::size_t at = 0; at < wrong.size(); ++at) {
    EXPECT_FALSE(CheckBlock(ordered, wrong[at], content)) << at;
  }
  EXPECT_FALSE(CheckBlock(ordered, ordered, "part"));
  EXPECT_FALSE(CheckBlock(ordered, ordered, "8 others"));
}

} // namespace
} // namespace damasklink
