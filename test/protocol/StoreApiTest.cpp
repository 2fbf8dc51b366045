#include "damasklink/protocol/StoreApi.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

const BlockHeader kHeader{
  Digest("aa"),
  { WorkspaceId("w"), ModelName("m"), WeightVersion("v"), AdapterName() },
  Generation(4'294'967'297),
  ByteCount(4096),
  Checksum(18'000'000'000'000'000'000ULL),
};

TEST(StoreApiTest, RoundTripsImportOrder)
{
  const ImportOrder order{ { "127.0.0.1", 9 }, std::chrono::milliseconds(1500), { kHeader } };
  const ImportOrder decoded = ParseImportOrder(FormatImportOrder(order)).value();
  EXPECT_EQ(decoded.store, order.store);
  EXPECT_EQ(decoded.valid, order.valid);
  EXPECT_EQ(decoded.blocks, order.blocks);
}

TEST(StoreApiTest, RoundTripsExportOrderAndResponse)
{
  const ExportOrder order{ { "127.0.0.1", 9 },
                           FencingNumber(3),
                           kHeader.scope,
                           { { Digest("aa"), Generation(1), ByteCount(2) } } };
  const ExportOrder decoded = ParseExportOrder(FormatExportOrder(order)).value();
  EXPECT_EQ(decoded.fencing, order.fencing);
  EXPECT_EQ(decoded.scope, order.scope);
  EXPECT_EQ(decoded.blocks.front().generation, Generation(1));
  const auto exported =
    ParseExported(FormatExported({ { Digest("aa"), Generation(1), ByteCount(2), Checksum(3) } }));
  EXPECT_EQ(exported.value().front().checksum, Checksum(3));
}

TEST(StoreApiTest, RoundTripsCacheEventAndInventory)
{
  const CacheEvent event{
    TargetId("e"), Incarnation(2), Sequence(5), { Digest("aa") }, { Digest("bb") }
  };
  EXPECT_EQ(ParseCacheEvent(FormatCacheEvent(event)).value(), event);
  EXPECT_EQ(ParseInventory(FormatInventory({ kHeader })).value(), std::vector{ kHeader });
}

TEST(StoreApiTest, ErrorsNameTheField)
{
  const auto noScope = ParseBlockHeader(R"({"block":"aa","scope":{"workspace":"w"}})");
  ASSERT_FALSE(noScope);
  EXPECT_NE(noScope.error().message.find("scope"), std::string::npos);
  const auto noStore = ParseImportOrder(R"({"store":"elsewhere","blocks":[]})");
  ASSERT_FALSE(noStore);
  EXPECT_NE(noStore.error().message.find("store"), std::string::npos);
  EXPECT_FALSE(ParseExported("[]"));
  EXPECT_FALSE(ParseStoreOrder(R"({"blocks":[7]})"));
}

} // namespace
} // namespace damasklink
