// Which blocks one store keeps, and who may read, write or free them.
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

// One permission to read a block.
using PinId = NumberId<struct PinIdTag>;

// Where a block is in its life. Only Sealed ones are read.
enum class BlockState : std::uint8_t
{
  Reserved, // Room is set aside; an export was ordered.
  Writing,  // The export has begun.
  Sealed,   // Whole: length and checksum are known.
  Draining, // No new reader; freed once no pin is left.
};

enum class StoreTier : std::uint8_t
{
  Memory,
  Disk,
};

// Permission to read one block until a time.
struct PinnedBlock
{
  PinId pin;
  BlockHeader header;
  MonotonicTime until;
};

// Room for one block that an engine is to export.
struct ReservedBlock
{
  Digest block;
  Generation generation;
  ByteCount length;
};

// Tells a store to forget a block, or to move it to its disk.
struct BlockCommand
{
  Digest block;
  Generation generation;
};

struct DirectoryOptions
{
  ByteCount memory;
  ByteCount disk;
  // How long a pin holds unless it is given back.
  Duration pinLease = std::chrono::seconds(10);
  // How long an export may take from its reservation to its seal.
  Duration writeLease = std::chrono::seconds(30);
};

// How much of a prompt a store keeps.
struct PrefixMatch
{
  std::uint64_t blocks = 0;
  ByteCount bytes;
};

// The one authority over a store's blocks while its owner holds the lease.
//
//   BlockDirectory directory(clock, fencing, options, returns);
//   auto reserved = directory.Reserve(block, scope, length, kind);
//   directory.BeginWriting(block, generation);                  // The engine exports.
//   directory.Seal(block, generation, length, checksum);
//   auto pinned = directory.Pin(block, scope);                  // An engine imports.
//   directory.Unpin(pinned.value().pin);
//   for (const BlockCommand& order : directory.TakeFreed()) ...   // The store may reuse the room.
//
// Generations grow with the fencing number, so that two owners never give the same one. When room
// is short, what is least expected to return soon goes first: return share of its kind by time
// since last use, the order for gaps spread evenly over orders of magnitude. From memory it goes
// to disk, from disk it is drained. Not thread-safe.
class BlockDirectory
{
public:
  BlockDirectory(const Clock& aClock,
                 FencingNumber aFencing,
                 DirectoryOptions aOptions,
                 const ReturnPredictor& aReturns);

  // Takes over what the store says it holds, as a new owner. Nothing is freed until every pin
  // that an earlier owner may have given has run out. Requires an empty directory.
  void Rebuild(const std::vector<BlockHeader>& aInventory);

  // Sets room aside for an export. Fails with Conflict when the block is there already in any
  // state, and with Overloaded when there is no room for it now.
  Result<ReservedBlock> Reserve(const Digest& aBlock,
                                const BlockScope& aScope,
                                ByteCount aLength,
                                PromptKind aKind);

  // Fails with Conflict when the block is not reserved in this generation.
  Result<void> BeginWriting(const Digest& aBlock, Generation aGeneration);

  // Makes the block readable. Fails with Conflict when it is not being written in this
  // generation, or has another length than was reserved.
  Result<void> Seal(const Digest& aBlock,
                    Generation aGeneration,
                    ByteCount aLength,
                    Checksum aChecksum);

  // Gives a reserved or half-written block up. Does nothing for other generations.
  void Abandon(const Digest& aBlock, Generation aGeneration);

  // Permits one reader. Fails with NotFound unless the block is sealed and of this scope.
  Result<PinnedBlock> Pin(const Digest& aBlock, const BlockScope& aScope);

  void Unpin(PinId aPin);

  // Frees a block once its readers are done; a reader found it wrong, or the store lost it.
  void Drain(const Digest& aBlock, Generation aGeneration);

  // Drains every block of a weight version.
  void DrainVersion(const ModelName& aModel, const WeightVersion& aVersion);

  // Returns the models and weight versions that it has ever held blocks of.
  std::set<std::pair<ModelName, WeightVersion>> Versions() const;

  // Returns how many leading blocks of a prompt are sealed here, and marks them as used now.
  PrefixMatch LookUp(const std::vector<Digest>& aBlocks, const BlockScope& aScope);

  // Lets leases run out. Requires to be called now and then.
  void Expire();

  // Returns the blocks that were freed since the last call. The store may forget them.
  std::vector<BlockCommand> TakeFreed();

  // Returns the blocks that were moved from memory to disk since the last call.
  std::vector<BlockCommand> TakeDemoted();

  // Returns the kind's rank among what is kept: the higher, the longer it stays. aAge is the time
  // since its last use.
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
    // Of a reserved or writing block: when it is given up.
    MonotonicTime writeDeadline;
    // Neighbours of the same kind and tier, by last use.
    Slot older = kNoSlot;
    Slot newer = kNoSlot;
    std::uint32_t pins = 0;
    std::uint32_t scope = 0;
    PromptKind kind = 0;
    BlockState state = BlockState::Reserved;
    StoreTier tier = StoreTier::Memory;
  };

  // Blocks of one kind in one tier, by last use.
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
  // Returns the block's slot when it is sealed and of the scope, else kNoSlot.
  Slot FindSealed(const Digest& aBlock, std::uint32_t aScope) const;
  // Returns the number of the scope, which is new where no block of it was ever kept.
  std::uint32_t ScopeIndex(const BlockScope& aScope);
  // Returns the number of the scope, kNoSlot where no block of it was ever kept.
  std::uint32_t KnownScope(const BlockScope& aScope) const;
  Slot AddRecord(const Digest& aBlock, const BlockScope& aScope, PromptKind aKind);
  void Link(Slot aSlot);
  void Unlink(Slot aSlot);
  LruList& LruListOf(const Record& aRecord);
  bool MakeRoom(StoreTier aTier, std::uint64_t aBytes, double aRank);
  Slot FindLowestRanked(StoreTier aTier, double& aRank) const;
  void StartDraining(Slot aSlot);
  void FreeIfUnpinned(Slot aSlot);
  std::uint64_t& UsedBytes(StoreTier aTier);

  const Clock& clock;
  DirectoryOptions options;
  const ReturnPredictor& returns;
  // No block is freed earlier.
  MonotonicTime earliestFree;
  std::uint64_t nextGeneration;
  std::uint64_t nextPin;
  absl::flat_hash_map<Name, Slot> slots;
  std::vector<Record> records;
  std::vector<Slot> unusedRecords;
  std::vector<BlockScope> scopes;
  absl::flat_hash_map<std::string, std::uint32_t> scopeIndexes;
  // By kind, then tier.
  std::vector<std::array<LruList, 2>> lists;
  absl::flat_hash_map<PinId, Pinned> pins;
  // Blocks that wait for their pins, or for earliestFree.
  std::vector<Slot> draining;
  std::vector<Slot> unsealed;
  std::uint64_t memoryUsed = 0;
  std::uint64_t diskUsed = 0;
  std::vector<BlockCommand> freed;
  std::vector<BlockCommand> demoted;
};

} // namespace damasklink
