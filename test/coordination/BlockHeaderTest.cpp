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
  const BlockHeader expected{ block, scope, Generation(3), ByteCount(8), ChecksumOf(content) };
  EXPECT_TRUE(CheckBlock(expected, expected, content));
  std::vector<BlockHeader> altered(8, expected);
  altered[0].block = DigestOf("block 2");
  altered[1].scope.workspace = WorkspaceId("plates");
  altered[2].scope.version = WeightVersion("v2");
  altered[3].scope.model = ModelName("n");
  altered[4].scope.adapter = AdapterName("a");
  altered[5].generation = Generation(4);
  altered[6].length = ByteCount(7);
  altered[7].checksum = Checksum(1);
  for (std::size_t at = 0; at < altered.size(); ++at) {
    EXPECT_FALSE(CheckBlock(expected, altered[at], content)) << at;
  }
  EXPECT_FALSE(CheckBlock(expected, expected, "part"));
  EXPECT_FALSE(CheckBlock(expected, expected, "8 others"));
}

} // namespace
} // namespace damasklink
