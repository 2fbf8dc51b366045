// Decides for the owner of a store which blocks are stored, who reads them and who uses its link.
#pragma once

#include <vector>

#include "damasklink/coordination/BlockDirectory.h"
#include "damasklink/coordination/LinkBudget.h"
#include "damasklink/coordination/ReturnPredictor.h"
#include "damasklink/coordination/Router.h"

namespace damasklink {

struct StoreManagerOptions
{
  StoreId store;
  StoreDeclaration declared;
  // A grant covers at most the bytes that the link's budget allows in this time, but at least one
  // block.
  Duration chunk = std::chrono::milliseconds(125);
  ReturnPredictorOptions returns;
  Duration pinLease = std::chrono::seconds(10);
  Duration writeLease = std::chrono::seconds(30);
  // Whether to refuse exports whose expected savings are below the cost of their link bytes. The
  // bench turns this off to measure its effect.
  bool costBasedAdmission = true;
};

// A prompt by the names of its blocks, with the figures that decide whether to export it.
struct HashedPrompt
{
  BlockScope scope;
  std::vector<Digest> blocks;
  // Whether the prompt extends an earlier one; from StoredPrefix.
  bool returning = false;
  ObjectiveWeights objective;
  // Prefill rate at which the prompt would be recomputed, in tokens per second.
  double prefillRate = 0;
};

// Permission to read some blocks now. Further blocks need another grant.
struct ImportGrant
{
  std::vector<PinnedBlock> blocks;
  ByteCount bytes;
};

// Permission to write some blocks now. Further blocks need another grant.
struct ExportGrant
{
  std::vector<ReservedBlock> blocks;
  ByteCount bytes;
};

// A block that an engine exported, as the engine reports it.
struct ExportedBlock
{
  Digest block;
  Generation generation;
  ByteCount length;
  Checksum checksum;
};

// Grants imports and exports for a store while this host holds its lease. Combines the block
// directory, the link's budget and the prediction of returns.
//
//   StoreManager manager(clock, fencing, options);
//   manager.Rebuild(inventory);
//   StoredPrefix stored = manager.LookUp(scope, blocks);
//   auto read = manager.GrantImport(scope, blocks, 0, stored.blocks);    // Overloaded: ask again.
//   manager.OnImported(read.value(), elapsed);
//   auto write = manager.GrantExport(prompt);
//   manager.OnExported(write.value(), exported, elapsed);
//
// Not thread-safe.
class StoreManager
{
public:
  StoreManager(const Clock& aClock, FencingNumber aFencing, StoreManagerOptions aOptions);
  StoreManager(const StoreManager&) = delete;
  StoreManager& operator=(const StoreManager&) = delete;

  // Loads the inventory that the store reports; see BlockDirectory::Rebuild().
  void Rebuild(const std::vector<BlockHeader>& aInventory) { this->directory.Rebuild(aInventory); }

  // Returns the stored start of an arriving prompt, with zero blocks if there is none.
  StoredPrefix LookUp(const BlockScope& aScope, const std::vector<Digest>& aBlocks);

  // Returns how many leading blocks of an answered prompt are stored, and marks them as used now.
  std::uint64_t CountStoredBlocks(const HashedPrompt& aPrompt)
  {
    return this->directory.LookUp(aPrompt.blocks, aPrompt.scope).blocks;
  }

  // Grants the import of the first blocks of the range [aFrom, aTo). Fails with Overloaded when the
  // link's budget is used up, and with NotFound when block aFrom is not stored.
  Result<ImportGrant> GrantImport(const BlockScope& aScope,
                                  const std::vector<Digest>& aBlocks,
                                  std::uint64_t aFrom,
                                  std::uint64_t aTo);

  // Ends an import that has arrived, and releases its pins.
  void OnImported(const ImportGrant& aGrant, Duration aElapsed);

  // Ends an import that has failed. Blocks that the reader found corrupt are drained.
  void OnImportFailed(const ImportGrant& aGrant, const std::vector<Digest>& aCorrupt);

  // Grants the export of the first missing blocks. Fails with NotFound when no block is missing or
  // worth exporting or the store has no space, and with Overloaded when the link's budget is used
  // up.
  Result<ExportGrant> GrantExport(const HashedPrompt& aPrompt);

  // Counts a prompt as answered; see ReturnPredictor.
  void OnAnswered(const HashedPrompt& aPrompt);

  // Ends an export: seals the blocks that arrived and abandons the others.
  void OnExported(const ExportGrant& aGrant,
                  const std::vector<ExportedBlock>& aExported,
                  Duration aElapsed);

  // Drains the blocks of a withdrawn weight version.
  void DrainVersion(const ModelName& aModel, const WeightVersion& aVersion)
  {
    this->directory.DrainVersion(aModel, aVersion);
  }

  // Ends expired pins and reservations. Call it periodically.
  void Expire() { this->directory.Expire(); }

  // Return the commands for the store since the last call.
  std::vector<BlockCommand> TakeFreed() { return this->directory.TakeFreed(); }
  std::vector<BlockCommand> TakeDemoted() { return this->directory.TakeDemoted(); }

  const BlockDirectory& Directory() const { return this->directory; }
  const LinkBudget& Link() const { return this->link; }

private:
  bool IsWorthExporting(const HashedPrompt& aPrompt,
                        std::uint64_t aMissing,
                        PromptKind aKind) const;
  PromptKind KindOf(const HashedPrompt& aPrompt);
  std::uint64_t BlockBytes() const;
  std::uint64_t BlocksPerGrant() const;

  StoreManagerOptions options;
  ReturnPredictor returns;
  BlockDirectory directory;
  LinkBudget link;
};

} // namespace damasklink
