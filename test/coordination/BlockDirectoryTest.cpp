#include "damasklink/coordination/BlockDirectory.h"

#include <map>
#include <optional>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "damasklink/state/Digests.h"
#include "damasklink/state/Text.h"

namespace damasklink {
namespace {

using std::chrono::seconds;

const BlockScope kScope{ WorkspaceId("water"), ModelName("m"), WeightVersion("v1"), AdapterName() };
const ByteCount kLength(8);
constexpr int kBlocks = 4;

Digest
Block(int aNumber)
{
  return DigestOf(Concat("block ", aNumber));
}

std::string
ContentOf(const Digest& aBlock)
{
  return aBlock.Value().substr(0, kLength.Value());
}

DirectoryOptions
Capacity(std::uint64_t aMemoryBlocks, std::uint64_t aDiskBlocks)
{
  DirectoryOptions options;
  options.memory = ByteCount(aMemoryBlocks * kLength.Value());
  options.disk = ByteCount(aDiskBlocks * kLength.Value());
  return options;
}

class BlockDirectoryTest : public testing::Test
{
protected:
  Generation StoreBlock(BlockDirectory& aDirectory, int aNumber, PromptKind aKind = 0)
  {
    const auto reserved = aDirectory.Reserve(Block(aNumber), kScope, kLength, aKind);
    const Generation generation = reserved.value().generation;
    EXPECT_TRUE(aDirectory.BeginWriting(Block(aNumber), generation));
    EXPECT_TRUE(
      aDirectory.Seal(Block(aNumber), generation, kLength, ChecksumOf(ContentOf(Block(aNumber)))));
    return generation;
  }

  ManualClock clock;
  ReturnPredictor returns{ ReturnPredictorOptions{} };
  PromptKind kind = this->returns.KindOf(WorkspaceId("water"), TokenCount(64), false);
  BlockDirectory directory{ this->clock, FencingNumber(1), Capacity(2, 0), this->returns };
};

TEST_F(BlockDirectoryTest, PinsOnlySealedBlocks)
{
  const auto reserved = this->directory.Reserve(Block(1), kScope, kLength, 0).value();
  EXPECT_FALSE(this->directory.Pin(Block(1), kScope));
  ASSERT_TRUE(this->directory.BeginWriting(Block(1), reserved.generation));
  EXPECT_FALSE(this->directory.Pin(Block(1), kScope));
  EXPECT_EQ(this->directory.LookUp({ Block(1) }, kScope).blocks, 0U);
  ASSERT_TRUE(this->directory.Seal(Block(1), reserved.generation, kLength, Checksum(1)));
  EXPECT_TRUE(this->directory.Pin(Block(1), kScope));
}

TEST_F(BlockDirectoryTest, SealRejectsOtherLengthOrGeneration)
{
  const auto reserved = this->directory.Reserve(Block(1), kScope, kLength, 0).value();
  ASSERT_TRUE(this->directory.BeginWriting(Block(1), reserved.generation));
  EXPECT_FALSE(this->directory.Seal(Block(1), Generation(7), kLength, Checksum(1)));
  EXPECT_FALSE(this->directory.Seal(Block(1), reserved.generation, ByteCount(3), Checksum(1)));
  EXPECT_FALSE(this->directory.Pin(Block(1), kScope));
}

TEST_F(BlockDirectoryTest, FreesReservationWhenWriteLeaseExpires)
{
  ASSERT_TRUE(this->directory.Reserve(Block(1), kScope, kLength, 0));
  this->clock.Advance(seconds(31));
  this->directory.Expire();
  EXPECT_EQ(this->directory.TakeFreed().size(), 1U);
  EXPECT_EQ(this->directory.Used(StoreTier::Memory), ByteCount(0));
}

TEST_F(BlockDirectoryTest, FreesDrainedBlockAfterLastUnpin)
{
  const Generation generation = this->StoreBlock(this->directory, 1);
  const auto pinned = this->directory.Pin(Block(1), kScope).value();
  this->directory.Drain(Block(1), generation);
  EXPECT_FALSE(this->directory.Pin(Block(1), kScope));
  this->directory.Expire();
  EXPECT_TRUE(this->directory.TakeFreed().empty());
  this->directory.Unpin(pinned.pin);
  this->directory.Expire();
  EXPECT_EQ(this->directory.TakeFreed().size(), 1U);
}

TEST_F(BlockDirectoryTest, PinExpiresWithItsLease)
{
  const Generation generation = this->StoreBlock(this->directory, 1);
  ASSERT_TRUE(this->directory.Pin(Block(1), kScope));
  this->directory.Drain(Block(1), generation);
  this->clock.Advance(seconds(10));
  this->directory.Expire();
  EXPECT_EQ(this->directory.TakeFreed().size(), 1U);
}

TEST_F(BlockDirectoryTest, RejectsReadsFromAnotherScope)
{
  this->StoreBlock(this->directory, 1);
  for (const char* field : { "workspace", "version" }) {
    BlockScope other = kScope;
    if (std::string_view(field) == "workspace") {
      other.workspace = WorkspaceId("plates");
    } else {
      other.version = WeightVersion("v2");
    }
    EXPECT_FALSE(this->directory.Pin(Block(1), other)) << field;
    EXPECT_EQ(this->directory.LookUp({ Block(1) }, other).blocks, 0U) << field;
  }
}

TEST_F(BlockDirectoryTest, DrainsAndFreesBlocksOfWithdrawnVersion)
{
  this->StoreBlock(this->directory, 1);
  const auto running = this->directory.Pin(Block(1), kScope).value();
  this->directory.DrainVersion(kScope.model, kScope.version);
  EXPECT_FALSE(this->directory.Pin(Block(1), kScope));
  EXPECT_TRUE(this->directory.TakeFreed().empty());
  this->directory.Unpin(running.pin);
  this->directory.Expire();
  EXPECT_EQ(this->directory.TakeFreed().size(), 1U);
}

TEST_F(BlockDirectoryTest, NewOwnerFreesNothingBeforeEarlierPinsExpire)
{
  BlockHeader header{ Block(1), kScope, Generation(5), kLength, Checksum(1) };
  BlockDirectory next(this->clock, FencingNumber(2), Capacity(1, 0), this->returns);
  next.Rebuild({ header });
  next.Drain(Block(1), Generation(5));
  next.Expire();
  EXPECT_TRUE(next.TakeFreed().empty());
  EXPECT_FALSE(next.Reserve(Block(2), kScope, kLength, this->kind));
  this->clock.Advance(seconds(10));
  next.Expire();
  EXPECT_EQ(next.TakeFreed().size(), 1U);
  EXPECT_TRUE(next.Reserve(Block(2), kScope, kLength, this->kind));
}

TEST_F(BlockDirectoryTest, GenerationsOfTwoOwnersDiffer)
{
  BlockDirectory next(this->clock, FencingNumber(2), Capacity(2, 0), this->returns);
  EXPECT_NE(this->StoreBlock(this->directory, 1), this->StoreBlock(next, 1));
}

TEST_F(BlockDirectoryTest, DemotesToDiskThenFreesLowestRanked)
{
  BlockDirectory tiers(this->clock, FencingNumber(1), Capacity(1, 1), this->returns);
  for (int number = 1; number <= 3; ++number) {
    this->StoreBlock(tiers, number);
    this->clock.Advance(std::chrono::minutes(5));
  }
  EXPECT_EQ(tiers.TakeDemoted().size(), 2U);
  ASSERT_EQ(tiers.TakeFreed().size(), 1U);
  EXPECT_FALSE(tiers.Pin(Block(1), kScope));
  EXPECT_TRUE(tiers.Pin(Block(2), kScope));
  EXPECT_TRUE(tiers.Pin(Block(3), kScope));
}

TEST_F(BlockDirectoryTest, EvictsKindThatRarelyReturnsFirst)
{
  const PromptKind never = this->returns.KindOf(WorkspaceId("b"), TokenCount(64), false);
  for (int number = 0; number < 100; ++number) {
    this->returns.OnAnswered(never, { Block(100 + number) });
  }
  this->StoreBlock(this->directory, 1, this->kind);
  this->clock.Advance(std::chrono::minutes(2));
  this->StoreBlock(this->directory, 2, never);
  this->clock.Advance(std::chrono::minutes(2));
  this->StoreBlock(this->directory, 3, this->kind);
  EXPECT_TRUE(this->directory.Pin(Block(1), kScope));
  EXPECT_FALSE(this->directory.Pin(Block(2), kScope));
}

// A store with three slots. A slot has the content that was last written to it.
struct FakeSlot
{
  BlockHeader header;
  std::string content;
  bool used = false;
};

class FakeStore
{
public:
  // Allocates a slot for an export. Returns nothing when the store is full.
  std::optional<std::size_t> Begin(const Digest& aBlock, Generation aGeneration)
  {
    for (std::size_t at = 0; at < this->slots.size(); ++at) {
      FakeSlot& slot = this->slots[at];
      if (!slot.used) {
        slot = { { aBlock, kScope, aGeneration, kLength, Checksum() }, "half", true };
        return at;
      }
    }
    return std::nullopt;
  }

  void Finish(std::size_t aSlot)
  {
    FakeSlot& slot = this->slots[aSlot];
    slot.content = ContentOf(slot.header.block);
    slot.header.checksum = ChecksumOf(slot.content);
  }

  // The content remains until the slot is written again, as on a real disk.
  void Free(const BlockCommand& aOrder)
  {
    for (FakeSlot& slot : this->slots) {
      const BlockHeader& header = slot.header;
      if (header.block == aOrder.block && header.generation == aOrder.generation) {
        slot.used = false;
      }
    }
  }

  std::vector<BlockHeader> Inventory() const
  {
    std::vector<BlockHeader> complete;
    for (const FakeSlot& slot : this->slots) {
      if (slot.used && slot.content.size() == kLength.Value()) {
        complete.push_back(slot.header);
      }
    }
    return complete;
  }

  std::vector<FakeSlot> slots{ 3 };
};

struct PendingRead
{
  PinnedBlock pinned;
  std::size_t slot = 0;
  std::size_t owner = 0;
};

struct PendingWrite
{
  ReservedBlock reserved;
  std::size_t slot = 0;
  std::size_t owner = 0;
};

// Simulates two owners of one store with readers and writers in any order. The first owner may
// continue after it has lost the lease. Reads are checked as engines check them.
class DirectorySimulation
{
public:
  DirectorySimulation()
  {
    for (const std::uint64_t fencing : { 1, 2 }) {
      this->owners.push_back(std::make_unique<BlockDirectory>(
        this->clock, FencingNumber(fencing), Capacity(2, 1), this->returns));
    }
  }

  void Step(int aAction, int aBlock, std::size_t aOwner)
  {
    BlockDirectory& owner = *this->owners[aOwner];
    switch (aAction) {
      case 0:
        this->BeginExport(owner, aOwner, aBlock);
        break;
      case 1:
        this->FinishExport();
        break;
      case 2:
        this->BeginImport(owner, aOwner, aBlock);
        break;
      case 3:
        this->FinishImport();
        break;
      case 4:
        this->clock.Advance(seconds(4));
        owner.Expire();
        break;
      case 5:
        this->DrainStored(owner, aBlock);
        break;
      default:
        break;
    }
    this->FreeAtStore(owner);
  }

  void BeginExport(BlockDirectory& aOwner, std::size_t aNumber, int aBlock)
  {
    const auto reserved = aOwner.Reserve(Block(aBlock), kScope, kLength, this->kind);
    if (!reserved) {
      return;
    }
    const auto slot = this->store.Begin(Block(aBlock), reserved.value().generation);
    if (!slot || !aOwner.BeginWriting(Block(aBlock), reserved.value().generation)) {
      aOwner.Abandon(Block(aBlock), reserved.value().generation);
      return;
    }
    this->writes.push_back({ reserved.value(), *slot, aNumber });
  }

  void FinishExport()
  {
    if (this->writes.empty()) {
      return;
    }
    const PendingWrite write = this->writes.front();
    this->writes.erase(this->writes.begin());
    const BlockHeader& header = this->store.slots[write.slot].header;
    if (header.generation != write.reserved.generation || !this->store.slots[write.slot].used) {
      return;
    }
    this->store.Finish(write.slot);
    (void)this->owners[write.owner]->Seal(
      write.reserved.block, write.reserved.generation, kLength, header.checksum);
  }

  void BeginImport(BlockDirectory& aOwner, std::size_t aNumber, int aBlock)
  {
    const auto pinned = aOwner.Pin(Block(aBlock), kScope);
    if (!pinned) {
      return;
    }
    // The reader uses this slot even if it is reused for another block before the read.
    for (std::size_t at = 0; at < this->store.slots.size(); ++at) {
      if (this->store.slots[at].header.block == Block(aBlock)) {
        this->reads.push_back({ pinned.value(), at, aNumber });
        return;
      }
    }
  }

  void FinishImport()
  {
    if (this->reads.empty()) {
      return;
    }
    const PendingRead read = this->reads.front();
    this->reads.erase(this->reads.begin());
    const FakeSlot& slot = this->store.slots[read.slot];
    const bool intact = bool(CheckBlock(read.pinned.header, slot.header, slot.content));
    if (intact) {
      RC_ASSERT(slot.content == ContentOf(read.pinned.header.block));
    }
    if (this->faultless && this->clock.MonotonicNow() < read.pinned.until) {
      // Without faults, a read under a valid pin always succeeds.
      RC_ASSERT(slot.used);
      RC_ASSERT(intact);
    }
    this->owners[read.owner]->Unpin(read.pinned.pin);
  }

  void DrainStored(BlockDirectory& aOwner, int aBlock)
  {
    for (const FakeSlot& slot : this->store.slots) {
      if (slot.header.block == Block(aBlock)) {
        aOwner.Drain(Block(aBlock), slot.header.generation);
      }
    }
  }

  void FreeAtStore(BlockDirectory& aOwner)
  {
    for (const BlockCommand& order : aOwner.TakeFreed()) {
      this->store.Free(order);
    }
  }

  ManualClock clock;
  ReturnPredictor returns{ ReturnPredictorOptions{} };
  PromptKind kind = this->returns.KindOf(WorkspaceId("water"), TokenCount(64), false);
  FakeStore store;
  std::vector<std::unique_ptr<BlockDirectory>> owners;
  std::vector<PendingRead> reads;
  std::vector<PendingWrite> writes;
  bool faultless = true;
};

using Steps = std::vector<std::pair<int, int>>;

Steps
AnySteps(int aActions)
{
  return *rc::gen::resize(200,
                          rc::gen::container<Steps>(rc::gen::pair(rc::gen::inRange(0, aActions),
                                                                  rc::gen::inRange(0, kBlocks))));
}

RC_GTEST_PROP(BlockDirectoryProperty, ReadsUnderLivePinAreIntact, ())
{
  DirectorySimulation simulation;
  for (const auto& [action, block] : AnySteps(6)) {
    simulation.Step(action, block, 0);
  }
}

// The second owner takes over while readers of the first owner are active.
RC_GTEST_PROP(BlockDirectoryProperty, TakeoverKeepsReadsUnderEarlierPinsIntact, ())
{
  DirectorySimulation simulation;
  for (const auto& [action, block] : AnySteps(6)) {
    simulation.Step(action, block, 0);
  }
  simulation.writes.clear();
  simulation.owners[1]->Rebuild(simulation.store.Inventory());
  for (const auto& [action, block] : AnySteps(6)) {
    // The new owner only reads, drains and advances the clock: its exports would mask the failures
    // that this test is for.
    simulation.Step(action == 0 ? 5 : action, block, 1);
  }
}

// Faults: exports are lost, the store restarts empty or with old content, both owners are active,
// and inventories have wrong checksums.
RC_GTEST_PROP(BlockDirectoryProperty, CheckRejectsFreedOrPartialBlocksUnderFaults, ())
{
  DirectorySimulation simulation;
  simulation.faultless = false;
  FakeStore backup = simulation.store;
  for (const auto& [action, block] : AnySteps(12)) {
    const auto owner = static_cast<std::size_t>(block % 2);
    switch (action) {
      case 6:
        simulation.writes.clear();
        break;
      case 7:
        simulation.store = FakeStore();
        break;
      case 8:
        backup = simulation.store;
        break;
      case 9:
        simulation.store = backup;
        break;
      case 10: {
        auto inventory = simulation.store.Inventory();
        if (!inventory.empty()) {
          inventory.front().checksum = Checksum(static_cast<std::uint64_t>(block));
        }
        simulation.owners[1] = std::make_unique<BlockDirectory>(
          simulation.clock, FencingNumber(3), Capacity(2, 1), simulation.returns);
        simulation.reads.erase(
          std::remove_if(simulation.reads.begin(),
                         simulation.reads.end(),
                         [](const PendingRead& aRead) { return aRead.owner == 1; }),
          simulation.reads.end());
        std::erase_if(simulation.writes,
                      [](const PendingWrite& aWrite) { return aWrite.owner == 1; });
        simulation.owners[1]->Rebuild(inventory);
        break;
      }
      default:
        simulation.Step(action, block, owner);
    }
  }
}

} // namespace
} // namespace damasklink
