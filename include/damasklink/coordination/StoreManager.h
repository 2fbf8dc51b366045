// What the owner of one store decides: what is kept there, who reads it and when its link is used.
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
  // Each grant moves at most the link's budget for this long.
  Duration chunk = std::chrono::milliseconds(125);
  ReturnPredictorOptions returns;
  Duration pinLease = std::chrono::seconds(10);
  Duration writeLease = std::chrono::seconds(30);
  // Whether what is unlikely to pay for its link bytes is left out; off in the bench's ablation.
  bool costBasedAdmission = true;
};

// An answered prompt whose blocks an engine could export.
struct HashedPrompt
{
  BlockScope scope;
  std::vector<Digest> blocks;
  // As the look-up said; see StoredPrefix.
  bool returning = false;
  ObjectiveWeights objective;
  // Rate at which the prompt would be computed again, in tokens a second.
  double prefillRate = 0;
};

// Permission to read some blocks now; the next ones need another.
struct ImportGrant
{
  std::vector<PinnedBlock> blocks;
  ByteCount bytes;
};

// Permission to write some blocks now; the next ones need another.
struct ExportGrant
{
  std::vector<ReservedBlock> blocks;
  ByteCount bytes;
};

// The sealed form of one exported block, as the engine reported it.
struct ExportedBlock
{
  Digest block;
  Generation generation;
  ByteCount length;
  Checksum checksum;
};

// The decisions of a store's owner while its lease holds. Joins the directory, the link's budget
// and the prediction of returns.
//
//   StoreManager owner(clock, fencing, options);
//   owner.Rebuild(inventory);
//   StoredPrefix kept = owner.LookUp(scope, blocks);
//   auto grant = owner.GrantImport(scope, blocks, 0, kept.blocks);    // Overloaded: ask again.
//   owner.OnImported(grant.value(), elapsed);
//   auto room = owner.GrantExport(offer);
//   owner.OnExported(room.value(), exported, elapsed);
//
// Not thread-safe.
class StoreManager
{
public:
  StoreManager(const Clock& aClock, FencingNumber aFencing, StoreManagerOptions aOptions);
  StoreManager(const StoreManager&) = delete;
  StoreManager& operator=(const StoreManager&) = delete;

  // Takes over what the store holds; see BlockDirectory::Rebuild().
  void Rebuild(const std::vector<BlockHeader>& aInventory) { this->directory.Rebuild(aInventory); }

  // Returns what is kept of an arriving prompt; blocks is 0 where that is nothing.
  StoredPrefix LookUp(const BlockScope& aScope, const std::vector<Digest>& aBlocks);

  // Returns how many leading blocks of an answered prompt are kept.
  std::uint64_t CountStoredBlocks(const HashedPrompt& aPrompt)
  {
    return this->directory.LookUp(aPrompt.blocks, aPrompt.scope).blocks;
  }

  // Permits the import of some of the blocks [aFrom, aTo), from aFrom on. Fails with Overloaded
  // when the link has nothing left now, and with NotFound when block aFrom is not kept.
  Result<ImportGrant> GrantImport(const BlockScope& aScope,
                                  const std::vector<Digest>& aBlocks,
                                  std::uint64_t aFrom,
                                  std::uint64_t aTo);

  // Tells that an import arrived and its blocks need no pin any more.
  void OnImported(const ImportGrant& aGrant, Duration aElapsed);

  // Tells that an import failed. Blocks that the reader found wrong are drained.
  void OnImportFailed(const ImportGrant& aGrant, const std::vector<Digest>& aWrong);

  // Permits the export of some of the blocks that are missing here. Fails with NotFound when
  // nothing is worth exporting, and with Overloaded when the link or the store has nothing left
  // now.
  Result<ExportGrant> GrantExport(const HashedPrompt& aPrompt);

  // Counts a prompt as answered once; see ReturnPredictor.
  void OnAnswered(const HashedPrompt& aPrompt);

  // Seals what arrived and gives up the rest of the grant.
  void OnExported(const ExportGrant& aGrant,
                  const std::vector<ExportedBlock>& aExported,
                  Duration aElapsed);

  // Drops what the settings no longer allow.
  void DrainVersion(const ModelName& aModel, const WeightVersion& aVersion)
  {
    this->directory.DrainVersion(aModel, aVersion);
  }

  // Lets leases run out. Requires to be called now and then.
  void Expire() { this->directory.Expire(); }

  // Orders for the store since the last call.
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
