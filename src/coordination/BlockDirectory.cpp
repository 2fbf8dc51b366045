#include "damasklink/coordination/BlockDirectory.h"

#include <algorithm>
#include <charconv>

#include "damasklink/state/Text.h"
#include <absl/strings/str_cat.h>

namespace damasklink {
namespace {

constexpr std::size_t kHexDigitsPerWord = 16;
constexpr int kHexBase = 16;
// The low bits of a generation count within one owner's lease; the fencing number stands above.
constexpr unsigned kGenerationBits = 32;
// Blocks used within this time have the same age for ranking.
constexpr Duration kMinRankAge = std::chrono::seconds(60);

auto
WrongState(std::string_view aWhat)
{
  return Fail(ErrorKind::Conflict,
              Concat("the block is not ", aWhat, " in this generation"),
              "abort the export; the prompt is computed again when it returns");
}

std::string
ScopeText(const BlockScope& aScope)
{
  return Concat(aScope.workspace.Value(),
                "\n",
                aScope.model.Value(),
                "\n",
                aScope.version.Value(),
                "\n",
                aScope.adapter.Value());
}

} // namespace

BlockDirectory::BlockDirectory(const Clock& aClock,
                               FencingNumber aFencing,
                               DirectoryOptions aOptions,
                               const ReturnPredictor& aReturns)
  : clock(aClock)
  , options(aOptions)
  , returns(aReturns)
  , earliestFree(aClock.MonotonicNow())
  , nextGeneration((aFencing.Value() << kGenerationBits) + 1)
  , nextPin((aFencing.Value() << kGenerationBits) + 1)
{
}

void
BlockDirectory::Rebuild(const std::vector<BlockHeader>& aInventory)
{
  this->earliestFree = this->clock.MonotonicNow() + this->options.pinLease;
  for (const BlockHeader& header : aInventory) {
    // A correct store holds no generation that this owner has not issued yet.
    const bool fromLater = header.generation.Value() >= this->nextGeneration;
    if (fromLater || this->slots.contains(NameOf(header.block))) {
      continue;
    }
    const Slot slot = this->AddRecord(header.block, header.scope, PromptKind());
    Record& record = this->records[slot];
    record.generation = header.generation;
    record.length = header.length.Value();
    record.checksum = header.checksum;
    record.lastUsed = this->clock.MonotonicNow();
    record.state = BlockState::Sealed;
    const bool fits = this->memoryUsed + record.length <= this->options.memory.Value();
    record.tier = fits ? StoreTier::Memory : StoreTier::Disk;
    this->UsedBytes(record.tier) += record.length;
    this->Link(slot);
  }
}

Result<ReservedBlock>
BlockDirectory::Reserve(const Digest& aBlock,
                        const BlockScope& aScope,
                        ByteCount aLength,
                        PromptKind aKind)
{
  if (this->slots.contains(NameOf(aBlock))) {
    return Fail(
      ErrorKind::Conflict, "the block is in the store already", "export only the missing blocks");
  }
  const double rank = this->RankOf(aKind, Duration(0));
  if (!this->MakeRoom(StoreTier::Memory, aLength.Value(), rank)) {
    return Fail(ErrorKind::Overloaded,
                "the store has no space for the block",
                "use another store or give this one more memory or disk");
  }
  const Slot slot = this->AddRecord(aBlock, aScope, aKind);
  Record& record = this->records[slot];
  record.generation = Generation(this->nextGeneration++);
  record.length = aLength.Value();
  record.writeDeadline = this->clock.MonotonicNow() + this->options.writeLease;
  this->memoryUsed += record.length;
  this->unsealed.push_back(slot);
  return ReservedBlock{ aBlock, record.generation, aLength };
}

Result<void>
BlockDirectory::BeginWriting(const Digest& aBlock, Generation aGeneration)
{
  Record* record = this->Find(aBlock, aGeneration);
  if (record == nullptr || record->state != BlockState::Reserved) {
    return WrongState("reserved");
  }
  record->state = BlockState::Writing;
  return Success();
}

Result<void>
BlockDirectory::Seal(const Digest& aBlock,
                     Generation aGeneration,
                     ByteCount aLength,
                     Checksum aChecksum)
{
  Record* record = this->Find(aBlock, aGeneration);
  if (record == nullptr || record->state != BlockState::Writing) {
    return WrongState("being written");
  }
  if (record->length != aLength.Value()) {
    this->Abandon(aBlock, aGeneration);
    return WrongState("of this length");
  }
  record->state = BlockState::Sealed;
  record->checksum = aChecksum;
  record->lastUsed = this->clock.MonotonicNow();
  const Slot slot = this->slots.at(record->name);
  std::erase(this->unsealed, slot);
  this->Link(slot);
  return Success();
}

void
BlockDirectory::Abandon(const Digest& aBlock, Generation aGeneration)
{
  Record* record = this->Find(aBlock, aGeneration);
  if (record == nullptr || record->state == BlockState::Sealed ||
      record->state == BlockState::Draining) {
    return;
  }
  this->StartDraining(this->slots.at(record->name));
}

Result<PinnedBlock>
BlockDirectory::Pin(const Digest& aBlock, const BlockScope& aScope)
{
  const Slot slot = this->FindSealed(aBlock, this->KnownScope(aScope));
  if (slot == kNoSlot) {
    return Fail(ErrorKind::NotFound, "the block is not in the store", "compute the prompt");
  }
  Record& found = this->records[slot];
  ++found.pins;
  const PinId pin(this->nextPin++);
  const MonotonicTime until = this->clock.MonotonicNow() + this->options.pinLease;
  this->pins.emplace(pin, Pinned{ slot, until });
  const BlockHeader header{
    aBlock, aScope, found.generation, ByteCount(found.length), found.checksum
  };
  return PinnedBlock{ pin, header, until };
}

void
BlockDirectory::Unpin(PinId aPin)
{
  const auto found = this->pins.find(aPin);
  if (found == this->pins.end()) {
    return;
  }
  --this->records[found->second.slot].pins;
  this->pins.erase(found);
}

void
BlockDirectory::Drain(const Digest& aBlock, Generation aGeneration)
{
  const Record* record = this->Find(aBlock, aGeneration);
  if (record != nullptr && record->state != BlockState::Draining) {
    this->StartDraining(this->slots.at(record->name));
  }
}

void
BlockDirectory::DrainVersion(const ModelName& aModel, const WeightVersion& aVersion)
{
  std::vector<Slot> withdrawn;
  for (const auto& [name, slot] : this->slots) {
    const Record& record = this->records[slot];
    const BlockScope& scope = this->scopes[record.scope];
    const bool ofVersion = scope.model == aModel && scope.version == aVersion;
    if (ofVersion && record.state != BlockState::Draining) {
      withdrawn.push_back(slot);
    }
  }
  for (const Slot slot : withdrawn) {
    this->StartDraining(slot);
  }
}

std::set<std::pair<ModelName, WeightVersion>>
BlockDirectory::Versions() const
{
  std::set<std::pair<ModelName, WeightVersion>> versions;
  for (const BlockScope& scope : this->scopes) {
    versions.emplace(scope.model, scope.version);
  }
  return versions;
}

PrefixMatch
BlockDirectory::LookUp(const std::vector<Digest>& aBlocks, const BlockScope& aScope)
{
  PrefixMatch match;
  const MonotonicTime now = this->clock.MonotonicNow();
  const std::uint32_t scope = this->KnownScope(aScope);
  for (const Digest& block : aBlocks) {
    const Slot slot = this->FindSealed(block, scope);
    if (slot == kNoSlot) {
      break;
    }
    this->Unlink(slot);
    this->records[slot].lastUsed = now;
    this->Link(slot);
    ++match.blocks;
    match.bytes = ByteCount(match.bytes.Value() + this->records[slot].length);
  }
  return match;
}

void
BlockDirectory::Expire()
{
  const MonotonicTime now = this->clock.MonotonicNow();
  std::vector<PinId> expired;
  for (const auto& [pin, pinned] : this->pins) {
    if (pinned.until <= now) {
      expired.push_back(pin);
    }
  }
  for (const PinId pin : expired) {
    this->Unpin(pin);
  }
  std::vector<Slot> overdue;
  for (const Slot slot : this->unsealed) {
    if (this->records[slot].writeDeadline <= now) {
      overdue.push_back(slot);
    }
  }
  for (const Slot slot : overdue) {
    this->StartDraining(slot);
  }
  const std::vector<Slot> waiting = std::move(this->draining);
  this->draining.clear();
  for (const Slot slot : waiting) {
    this->FreeIfUnpinned(slot);
  }
}

std::vector<BlockCommand>
BlockDirectory::TakeFreed()
{
  return std::exchange(this->freed, {});
}

std::vector<BlockCommand>
BlockDirectory::TakeDemoted()
{
  return std::exchange(this->demoted, {});
}

double
BlockDirectory::RankOf(PromptKind aKind, Duration aAge) const
{
  const double seconds = std::chrono::duration<double>(std::max(aAge, kMinRankAge)).count();
  return this->returns.ReturnProbability(aKind) / seconds;
}

ByteCount
BlockDirectory::Used(StoreTier aTier) const
{
  return ByteCount(aTier == StoreTier::Memory ? this->memoryUsed : this->diskUsed);
}

BlockDirectory::Name
BlockDirectory::NameOf(const Digest& aBlock)
{
  Name name{};
  const std::string& text = aBlock.Value();
  const std::size_t words = std::min(name.size(), text.size() / kHexDigitsPerWord);
  for (std::size_t word = 0; word < words; ++word) {
    const char* digits = text.data() + (word * kHexDigitsPerWord);
    std::from_chars(digits, digits + kHexDigitsPerWord, name[word], kHexBase);
  }
  return name;
}

Digest
BlockDirectory::DigestOfName(const Name& aName)
{
  std::string text;
  for (const std::uint64_t word : aName) {
    absl::StrAppend(&text, absl::Hex(word, absl::kZeroPad16));
  }
  return Digest(std::move(text));
}

BlockDirectory::Record*
BlockDirectory::Find(const Digest& aBlock, Generation aGeneration)
{
  const auto found = this->slots.find(NameOf(aBlock));
  if (found == this->slots.end()) {
    return nullptr;
  }
  Record& record = this->records[found->second];
  return record.generation == aGeneration ? &record : nullptr;
}

BlockDirectory::Slot
BlockDirectory::FindSealed(const Digest& aBlock, std::uint32_t aScope) const
{
  const auto found = this->slots.find(NameOf(aBlock));
  if (found == this->slots.end()) {
    return kNoSlot;
  }
  const Record& record = this->records[found->second];
  const bool readable = record.state == BlockState::Sealed && record.scope == aScope;
  return readable ? found->second : kNoSlot;
}

std::uint32_t
BlockDirectory::ScopeIndex(const BlockScope& aScope)
{
  const auto [found, inserted] = this->scopeIndexes.try_emplace(
    ScopeText(aScope), static_cast<std::uint32_t>(this->scopes.size()));
  if (inserted) {
    this->scopes.push_back(aScope);
  }
  return found->second;
}

std::uint32_t
BlockDirectory::KnownScope(const BlockScope& aScope) const
{
  const auto found = this->scopeIndexes.find(ScopeText(aScope));
  return found == this->scopeIndexes.end() ? kNoSlot : found->second;
}

BlockDirectory::Slot
BlockDirectory::AddRecord(const Digest& aBlock, const BlockScope& aScope, PromptKind aKind)
{
  Slot slot = static_cast<Slot>(this->records.size());
  if (this->unusedRecords.empty()) {
    this->records.emplace_back();
  } else {
    slot = this->unusedRecords.back();
    this->unusedRecords.pop_back();
    this->records[slot] = Record();
  }
  Record& record = this->records[slot];
  record.name = NameOf(aBlock);
  record.scope = this->ScopeIndex(aScope);
  record.kind = aKind;
  this->slots.emplace(record.name, slot);
  return slot;
}

BlockDirectory::LruList&
BlockDirectory::LruListOf(const Record& aRecord)
{
  if (aRecord.kind >= this->lists.size()) {
    this->lists.resize(aRecord.kind + std::size_t{ 1 });
  }
  return this->lists[aRecord.kind][static_cast<std::size_t>(aRecord.tier)];
}

void
BlockDirectory::Link(Slot aSlot)
{
  Record& record = this->records[aSlot];
  LruList& list = this->LruListOf(record);
  record.older = list.newest;
  record.newer = kNoSlot;
  if (list.newest == kNoSlot) {
    list.oldest = aSlot;
  } else {
    this->records[list.newest].newer = aSlot;
  }
  list.newest = aSlot;
}

void
BlockDirectory::Unlink(Slot aSlot)
{
  Record& record = this->records[aSlot];
  LruList& list = this->LruListOf(record);
  (record.older == kNoSlot ? list.oldest : this->records[record.older].newer) = record.newer;
  (record.newer == kNoSlot ? list.newest : this->records[record.newer].older) = record.older;
  record.older = kNoSlot;
  record.newer = kNoSlot;
}

bool
BlockDirectory::MakeRoom(StoreTier aTier, std::uint64_t aBytes, double aRank)
{
  const bool toMemory = aTier == StoreTier::Memory;
  const std::uint64_t capacity = (toMemory ? this->options.memory : this->options.disk).Value();
  if (aBytes > capacity) {
    return false;
  }
  while (this->UsedBytes(aTier) + aBytes > capacity) {
    double rank = 0;
    const Slot lowest = this->FindLowestRanked(aTier, rank);
    if (lowest == kNoSlot || rank >= aRank) {
      return false;
    }
    const std::uint64_t length = this->records[lowest].length;
    if (toMemory && this->MakeRoom(StoreTier::Disk, length, rank)) {
      Record& record = this->records[lowest];
      this->Unlink(lowest);
      record.tier = StoreTier::Disk;
      this->Link(lowest);
      this->memoryUsed -= length;
      this->diskUsed += length;
      this->demoted.push_back({ DigestOfName(record.name), record.generation });
      continue;
    }
    // Draining frees no space while pins of an earlier owner may still be valid.
    if (this->clock.MonotonicNow() < this->earliestFree) {
      return false;
    }
    this->StartDraining(lowest);
  }
  return true;
}

BlockDirectory::Slot
BlockDirectory::FindLowestRanked(StoreTier aTier, double& aRank) const
{
  const MonotonicTime now = this->clock.MonotonicNow();
  Slot lowest = kNoSlot;
  for (std::size_t kind = 0; kind < this->lists.size(); ++kind) {
    const Slot oldest = this->lists[kind][static_cast<std::size_t>(aTier)].oldest;
    if (oldest == kNoSlot) {
      continue;
    }
    const double rank =
      this->RankOf(static_cast<PromptKind>(kind), now - this->records[oldest].lastUsed);
    if (lowest == kNoSlot || rank < aRank) {
      lowest = oldest;
      aRank = rank;
    }
  }
  return lowest;
}

void
BlockDirectory::StartDraining(Slot aSlot)
{
  Record& record = this->records[aSlot];
  if (record.state == BlockState::Sealed) {
    this->Unlink(aSlot);
  } else {
    std::erase(this->unsealed, aSlot);
  }
  record.state = BlockState::Draining;
  this->FreeIfUnpinned(aSlot);
}

void
BlockDirectory::FreeIfUnpinned(Slot aSlot)
{
  Record& record = this->records[aSlot];
  if (record.pins > 0 || this->clock.MonotonicNow() < this->earliestFree) {
    this->draining.push_back(aSlot);
    return;
  }
  this->freed.push_back({ DigestOfName(record.name), record.generation });
  this->UsedBytes(record.tier) -= record.length;
  this->slots.erase(record.name);
  this->unusedRecords.push_back(aSlot);
}

std::uint64_t&
BlockDirectory::UsedBytes(StoreTier aTier)
{
  return aTier == StoreTier::Memory ? this->memoryUsed : this->diskUsed;
}

} // namespace damasklink
