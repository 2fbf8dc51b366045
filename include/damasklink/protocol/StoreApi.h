// Messages exchanged with engines and stores over HTTP about stored blocks.
//
// docs/API.md describes the calls. Engines transfer blocks to and from a store themselves when
// ordered to; block content never passes through a host. All parsers fail with InvalidArgument,
// naming the invalid field.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "damasklink/coordination/PrefixCacheIndex.h"
#include "damasklink/coordination/StoreManager.h"
#include "damasklink/state/Settings.h"

namespace damasklink {

// Request paths, and who serves them.
inline constexpr const char* kImportPath = "/v1/cache/import";    // Engine.
inline constexpr const char* kExportPath = "/v1/cache/export";    // Engine.
inline constexpr const char* kSnapshotPath = "/v1/cache";         // Engine.
inline constexpr const char* kCacheEventPath = "/v1/cache/event"; // Host; called by engines.
inline constexpr const char* kBlocksPath = "/v1/blocks";        // Store; one block: "/NAME" added.
inline constexpr const char* kFreePath = "/v1/blocks/free";     // Store.
inline constexpr const char* kDemotePath = "/v1/blocks/demote"; // Store.

// HTTP header fields of requests that transfer a block.
inline constexpr const char* kBlockHeaderField = "x-damasklink-block";
inline constexpr const char* kFencingField = "x-damasklink-fencing";

// Orders an engine to read blocks from a store, verify each, and add them to its cache. The engine
// drops what has not arrived within `valid`, because the pins of the blocks expire then.
struct ImportOrder
{
  Endpoint store;
  Duration valid{ 0 };
  std::vector<BlockHeader> blocks;
};

// Result of an import.
struct ImportReport
{
  std::uint64_t imported = 0;
  // Blocks whose header or content differed from the order.
  std::vector<Digest> wrong;

  bool operator==(const ImportReport&) const = default;
};

// Orders an engine to write blocks of its cache to a store.
struct ExportOrder
{
  Endpoint store;
  FencingNumber fencing;
  BlockScope scope;
  std::vector<ReservedBlock> blocks;
};

// Orders a store to free blocks or to move them from memory to disk, depending on the path. Only
// the owner of the store sends it.
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

// The response to an ExportOrder: the blocks that the engine wrote.
std::string
FormatExported(const std::vector<ExportedBlock>& aBlocks);
Result<std::vector<ExportedBlock>>
ParseExported(std::string_view aBody);

std::string
FormatStoreOrder(const StoreOrder& aOrder);
Result<StoreOrder>
ParseStoreOrder(std::string_view aBody);

// The header of one block, sent in the HTTP header field kBlockHeaderField with the content.
std::string
FormatBlockHeader(const BlockHeader& aHeader);
Result<BlockHeader>
ParseBlockHeader(std::string_view aText);

// The complete blocks that a store contains.
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
