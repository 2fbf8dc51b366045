// What this system, engines and stores say to each other about kept blocks, over HTTP.
//
// docs/API.md describes the calls. Engines move blocks to and from a store themselves, on the
// orders below; the system never carries a block's content.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "damasklink/coordination/PrefixCacheIndex.h"
#include "damasklink/coordination/StoreManager.h"
#include "damasklink/state/Settings.h"

namespace damasklink {

// Paths of the calls.
inline constexpr const char* kImportPath = "/v1/cache/import";    // To an engine.
inline constexpr const char* kExportPath = "/v1/cache/export";    // To an engine.
inline constexpr const char* kSnapshotPath = "/v1/cache";         // To an engine.
inline constexpr const char* kCacheEventPath = "/v1/cache/event"; // From an engine to a host.
inline constexpr const char* kBlocksPath = "/v1/blocks";          // To a store; + "/NAME" for one.
inline constexpr const char* kFreePath = "/v1/blocks/free";       // To a store.
inline constexpr const char* kDemotePath = "/v1/blocks/demote";   // To a store.

// Names of the headers that a block travels with.
inline constexpr const char* kBlockHeaderField = "x-damasklink-block";
inline constexpr const char* kFencingField = "x-damasklink-fencing";

// Order to an engine: read these blocks from a store, check each, and take them into the cache.
// Whatever is not there within `valid` is given up: the pins end then.
struct ImportOrder
{
  Endpoint store;
  Duration valid{ 0 };
  std::vector<BlockHeader> blocks;
};

// How an import ended.
struct ImportReport
{
  std::uint64_t imported = 0;
  // Blocks whose header or content was not as ordered.
  std::vector<Digest> wrong;

  bool operator==(const ImportReport&) const = default;
};

// Order to an engine: write these blocks of its cache to a store.
struct ExportOrder
{
  Endpoint store;
  FencingNumber fencing;
  BlockScope scope;
  std::vector<ReservedBlock> blocks;
};

// Order to a store, from its owner.
struct StoreOrder
{
  FencingNumber fencing;
  std::vector<BlockCommand> blocks;
};

std::string
FormatImportOrder(const ImportOrder& aOrder);
Result<ImportOrder>
ParseImportOrder(std::string_view aBody);

std::string
FormatImportReport(const ImportReport& aReport);
Result<ImportReport>
ParseImportReport(std::string_view aBody);

std::string
FormatExportOrder(const ExportOrder& aOrder);
Result<ExportOrder>
ParseExportOrder(std::string_view aBody);

// The blocks that an engine wrote.
std::string
FormatExported(const std::vector<ExportedBlock>& aBlocks);
Result<std::vector<ExportedBlock>>
ParseExported(std::string_view aBody);

std::string
FormatStoreOrder(const StoreOrder& aOrder);
Result<StoreOrder>
ParseStoreOrder(std::string_view aBody);

// One block's header, as it travels beside the content.
std::string
FormatBlockHeader(const BlockHeader& aHeader);
Result<BlockHeader>
ParseBlockHeader(std::string_view aText);

// The whole blocks that a store holds.
std::string
FormatInventory(const std::vector<BlockHeader>& aBlocks);
Result<std::vector<BlockHeader>>
ParseInventory(std::string_view aBody);

std::string
FormatCacheEvent(const CacheEvent& aEvent);
Result<CacheEvent>
ParseCacheEvent(std::string_view aBody);

std::string
FormatCacheSnapshot(const CacheSnapshot& aSnapshot);
Result<CacheSnapshot>
ParseCacheSnapshot(std::string_view aBody);

} // namespace damasklink
