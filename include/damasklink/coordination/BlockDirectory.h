// Directory of the blocks in one store: their state, their readers and their eviction.
#pragma once

#include <array>
#include <cstdint>
#include <limits>
#include <set>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "damasklink/coordination/BlockHeader.h"
#include "damasklink/coordination/ReturnPredictor.h"
#include "damasklink/state/Clock.h"
#include "damasklink/state/Error.h"
#include "damasklink/state/Ids.h"

namespace damasklink {

// Identifies one read permission (pin) for a block.
using PinId = NumberId<struct PinIdTag>;

// Life cycle of a block. Only sealed blocks can be read.
enum class BlockState : std::uint8_t
{
  Reserved, // Space is allocated for an export that has not begun.
  Writing,  // The export has begun.
  Sealed,   // Complete; length and checksum are known.
  Draining, // Accepts no new reader; freed after the last unpin.
};

enum class StoreTier : std::uint8_t
{
  Memory,
  Disk,
};

// Permission to read one block, which expires at `until`.
struct PinnedBlock
{
  PinId pin;
  BlockHeader header;
  MonotonicTime until;
};

// Space allocated for one block that an engine will export.
struct ReservedBlock
{
  Digest block;
  Generation generation;
  ByteCount length;
};

// Command to a store to free a block or to move it from memory to disk.
struct BlockCommand
{
  Digest block;
  Generation generation;
};

struct DirectoryOptions
{
  // Capacities of the two tiers.
  ByteCount memory;
  ByteCount disk;
  // Lifetime of a pin that is not released.
  Duration pinLease = std::chrono::seconds(10);
  // Time allowed for an export, from Reserve() to Seal().
  Duration writeLease = std::chrono::seconds(30);
};

// The leading part of a prompt that a store holds.
struct PrefixMatch
{
  std::uint64_t blocks = 0;
  ByteCount bytes;
};

// Decides which blocks a store holds and who may read or write them. Only the owner of the store's
// lease has a directory of it.
//
//   BlockDirectory directory(clock, fencing, options, returns);
//   auto reserved = directory.Reserve(block, scope, length, kind);
//   directory.BeginWriting(block, generation);                  // The engine exports.
//   directory.Seal(block, generation, length, checksum);
//   auto pinned = directory.Pin(block, scope);                  // An engine imports.
//   directory.Unpin(pinned.value().pin);
//   for (const BlockCommand& command : directory.TakeFreed()) ... // The store may reuse the space.
//
// Generations contain the fencing number, so that no two owners issue the same one.
//
// Eviction: when a tier is full, the block with the lowest rank is evicted first. The rank is the
// return probability of the block's kind divided by the time since its last use, which is the right
// order when the gaps between uses are spread evenly over orders of magnitude. Blocks evicted from
// memory are moved to disk; blocks evicted from disk are drained. Not thread-safe.
class BlockDirectory
{
public:
  BlockDirectory(const Clock& aClock,
                 FencingNumber aFencing,
                 DirectoryOptions aOptions,
                 const ReturnPredictor& aReturns);

  // Loads the inventory that the store reports to a new owner. Nothing is freed until every pin
  // that an earlier owner may have granted has expired. Requires an empty directory.
  void Rebuild(const std::vector<BlockHeader>& aInventory);

  // Allocates space for an export. Fails with Conflict when the block is present in any state, and
  // with Overloaded when there is no space for it now.
  Result<ReservedBlock> Reserve(const Digest& aBlock,
                                const BlockScope& aScope,
                                ByteCount aLength,
                                PromptKind aKind);

  // Marks a reserved block as being written. Fails with Conflict when the block is not reserved in
  // this generation.
  Result<void> BeginWriting(const Digest& aBlock, Generation aGeneration);

  // Makes the block readable. Fails with Conflict when the block is not being written in this
  // generation; also, and then abandons it, when its length differs from the reserved one.
  Result<void> Seal(const Digest& aBlock,
                    Generation aGeneration,
                    ByteCount aLength,
                    Checksum aChecksum);

  // Frees a reserved or partly written block. Ignores other generations and sealed blocks.
  void Abandon(const Digest& aBlock, Generation aGeneration);

  // Admits one reader. Fails with NotFound unless the block is sealed and of this scope.
  Result<PinnedBlock> Pin(const Digest& aBlock, const BlockScope& aScope);

  // Releases a pin. Ignores unknown and expired pins.
  void Unpin(PinId aPin);

  // Frees a block after its last unpin, because a reader found it corrupt or the store lost it.
  void Drain(const Digest& aBlock, Generation aGeneration);

  // Drains every block of a weight version.
  void DrainVersion(const ModelName& aModel, const WeightVersion& aVersion);

  // Returns every model and weight version of which blocks were ever stored here.
  std::set<std::pair<ModelName, WeightVersion>> Versions() const;

  // Returns how much of the start of a prompt is sealed here, and marks these blocks as used now.
  PrefixMatch LookUp(const std::vector<Digest>& aBlocks, const BlockScope& aScope);

  // Ends expired pins and reservations, and frees drained blocks. Call it periodically.
  void Expire();

  // Returns the blocks that were freed since the last call; the store may reuse their space.
  std::vector<BlockCommand> TakeFreed();

  // Returns the blocks that were moved from memory to disk since the last call.
  std::vector<BlockCommand> TakeDemoted();

  // Returns the eviction rank of a block of this kind that was last used aAge ago. Blocks of a low
  // rank are evicted first.
  double RankOf(PromptKind aKind, Duration aAge) const;

  std::uint64_t Size() const { return this->slots.size(); }
  ByteCount Used(StoreTier aTier) const;

private:
  using Name = std::array<std::uint64_t, 4>;
  using Slot = std::uint32_t;
  static constexpr Slot kNoSlot = std::numeric_limits<Slot>::max();

  struct Record
  {
    Name name{};
    Generation generation;
    std::uint64_t length = 0;
    Checksum checksum;
    MonotonicTime lastUsed;
    // When a reserved or writing block is abandoned.
    MonotonicTime writeDeadline;
    // Neighbours in the LRU list.
    Slot older = kNoSlot;
    Slot newer = kNoSlot;
    std::uint32_t pins = 0;
    std::uint32_t scope = 0;
    PromptKind kind = 0;
    BlockState state = BlockState::Reserved;
    StoreTier tier = StoreTier::Memory;
  };

  // Sealed blocks of one kind in one tier, by last use.
  struct LruList
  {
    Slot oldest = kNoSlot;
    Slot newest = kNoSlot;
  };

  struct Pinned
  {
    Slot slot = kNoSlot;
    MonotonicTime until;
  };

  static Name NameOf(const Digest& aBlock);
  static Digest DigestOfName(const Name& aName);
  Record* Find(const Digest& aBlock, Generation aGeneration);
  // Returns the block's slot if it is sealed and of the scope, else kNoSlot.
  Slot FindSealed(const Digest& aBlock, std::uint32_t aScope) const;
  // Returns the number of the scope, a new one for a scope that was not seen before.
  std::uint32_t ScopeIndex(const BlockScope& aScope);
  // Returns the number of the scope, kNoSlot for a scope that was not seen before.
  std::uint32_t KnownScope(const BlockScope& aScope) const;
  Slot AddRecord(const Digest& aBlock, const BlockScope& aScope, PromptKind aKind);
  void Link(Slot aSlot);
  void Unlink(Slot aSlot);
  LruList& LruListOf(const Record& aRecord);
  // Evicts blocks ranked below aRank until aBytes fit. Returns false if that is not enough.
  bool MakeRoom(StoreTier aTier, std::uint64_t aBytes, double aRank);
  Slot FindLowestRanked(StoreTier aTier, double& aRank) const;
  void StartDraining(Slot aSlot);
  void FreeIfUnpinned(Slot aSlot);
  std::uint64_t& UsedBytes(StoreTier aTier);

  const Clock& clock;
  DirectoryOptions options;
  const ReturnPredictor& returns;
  // Pins of an earlier owner may last until then, so no block is freed before it.
  MonotonicTime earliestFree;
  std::uint64_t nextGeneration;
  std::uint64_t nextPin;
  absl::flat_hash_map<Name, Slot> slots;
  std::vector<Record> records;
  std::vector<Slot> unusedRecords;
  std::vector<BlockScope> scopes;
  absl::flat_hash_map<std::string, std::uint32_t> scopeIndexes;
  // Indexed by kind, then tier.
  std::vector<std::array<LruList, 2>> lists;
  absl::flat_hash_map<PinId, Pinned> pins;
  // Blocks that are freed after their last unpin and after earliestFree.
  std::vector<Slot> draining;
  // Reserved blocks and blocks being written.
  std::vector<Slot> unsealed;
  std::uint64_t memoryUsed = 0;
  std::uint64_t diskUsed = 0;
  std::vector<BlockCommand> freed;
  std::vector<BlockCommand> demoted;
};

} // namespace damasklink
