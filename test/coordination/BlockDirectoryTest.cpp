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
Room(std::uint64_t aMemoryBlocks, std::uint64_t aDiskBlocks)
{
  DirectoryOptions options;
  options.memory = ByteCount(aMemoryBlocks * kLength.Value());
  options.disk = ByteCount(aDiskBlocks * kLength.Value());
  return options;
}

class BlockDirectoryTest : public testing::Test
{
protected:
  Generation Keep(BlockDirectory& aDirectory, int aNumber, PromptKind aKind = 0)
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
  BlockDirectory directory{ this->clock, FencingNumber(1), Room(2, 0), this->returns };
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
  const Generation generation = this->Keep(this->directory, 1);
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
  const Generation generation = this->Keep(this->directory, 1);
  ASSERT_TRUE(this->directory.Pin(Block(1), kScope));
  this->directory.Drain(Block(1), generation);
  this->clock.Advance(seconds(10));
  this->directory.Expire();
  EXPECT_EQ(this->directory.TakeFreed().size(), 1U);
}

TEST_F(BlockDirectoryTest, RejectsReadsFromAnotherScope)
{
  this->Keep(this->directory, 1);
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
  this->Keep(this->directory, 1);
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
  BlockDirectory next(this->clock, FencingNumber(2), Room(1, 0), this->returns);
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
  BlockDirectory next(this->clock, FencingNumber(2), Room(2, 0), this->returns);
  EXPECT_NE(this->Keep(this->directory, 1), this->Keep(next, 1));
}

TEST_F(BlockDirectoryTest, DemotesToDiskThenFreesLowestRanked)
{
  BlockDirectory tiers(this->clock, FencingNumber(1), Room(1, 1), this->returns);
  for (int number = 1; number <= 3; ++number) {
    this->Keep(tiers, number);
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
  this->Keep(this->directory, 1, this->kind);
  this->clock.Advance(std::chrono::minutes(2));
  this->Keep(this->directory, 2, never);
  this->clock.Advance(std::chrono::minutes(2));
  this->Keep(this->directory, 3, this->kind);
  EXPECT_TRUE(this->directory.Pin(Block(1), kScope));
  EXPECT_FALSE(this->directory.Pin(Block(2), kScope));
}

// A store of a few slots, as the wire sees it: what was written last stands there.
struct FakeSlot
{
  BlockHeader header;
  std::string content;
  bool used = false;
};

class FakeStore
{
public:
  // Returns the slot that an export got, or nothing when the store is full.
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

  // The content stays until the slot is used again, as on a real disk.
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
    std::vector<BlockHeader> whole;
    for (const FakeSlot& slot : this->slots) {
      if (slot.used && slot.content.size() == kLength.Value()) {
        whole.push_back(slot.header);
      }
    }
    return whole;
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

// Two owners, one store, readers and writers in any order. The first owner may go on as if it still
// held the lease. Every read is checked as the engine checks it.
class DirectorySimulation
{
public:
  DirectorySimulation()
  {
    for (const std::uint64_t fencing : { 1, 2 }) {
      this->owners.push_back(std::make_unique<BlockDirectory>(
        this->clock, FencingNumber(fencing), Room(2, 1), this->returns));
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
        this->DrainKept(owner, aBlock);
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
    // The slot as it is known now; it may be another's by the time of the read.
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
    const bool whole = bool(CheckBlock(read.pinned.header, slot.header, slot.content));
    if (whole) {
      RC_ASSERT(slot.content == ContentOf(read.pinned.header.block));
    }
    if (this->honest && this->clock.MonotonicNow() < read.pinned.until) {
      // Nothing but faults may spoil a read under a live pin.
      RC_ASSERT(slot.used);
      RC_ASSERT(whole);
    }
    this->owners[read.owner]->Unpin(read.pinned.pin);
  }

  void DrainKept(BlockDirectory& aOwner, int aBlock)
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
  bool honest = true;
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
  DirectorySimulation world;
  for (const auto& [action, block] : AnySteps(6)) {
    world.Step(action, block, 0);
  }
}

// The second owner takes over while readers of the first are still at it.
RC_GTEST_PROP(BlockDirectoryProperty, TakeoverKeepsReadsUnderEarlierPinsIntact, ())
{
  DirectorySimulation world;
  for (const auto& [action, block] : AnySteps(6)) {
    world.Step(action, block, 0);
  }
  world.writes.clear();
  world.owners[1]->Rebuild(world.store.Inventory());
  for (const auto& [action, block] : AnySteps(6)) {
    // Exports of the new owner would hide what is tested: it reads, drains and lets time pass.
    world.Step(action == 0 ? 5 : action, block, 1);
  }
}

// Exports die, the store restarts empty or with old content, both owners act, inventories lie.
RC_GTEST_PROP(BlockDirectoryProperty, CheckRejectsFreedOrPartialBlocksUnderFaults, ())
{
  DirectorySimulation world;
  world.honest = false;
  FakeStore old = world.store;
  for (const auto& [action, block] : AnySteps(12)) {
    const auto owner = static_cast<std::size_t>(block % 2);
    switch (action) {
      case 6:
        world.writes.clear();
        break;
      case 7:
        world.store = FakeStore();
        break;
      case 8:
        old = world.store;
        break;
      case 9:
        world.store = old;
        break;
      case 10: {
        auto inventory = world.store.Inventory();
        if (!inventory.empty()) {
          inventory.front().checksum = Checksum(static_cast<std::uint64_t>(block));
        }
        world.owners[1] = std::make_unique<BlockDirectory>(
          world.clock, FencingNumber(3), Room(2, 1), world.returns);
        world.reads.erase(std::remove_if(world.reads.begin(),
                                         world.reads.end(),
                                         [](const PendingRead& aRead) { return aRead.owner == 1; }),
                          world.reads.end());
        std::erase_if(world.writes, [](const PendingWrite& aWrite) { return aWrite.owner == 1; });
        world.owners[1]->Rebuild(inventory);
        break;
      }
      default:
        world.Step(action, block, owner);
    }
  }
}

} // namespace
} // namespace damasklink
