#include "damasklink/coordination/StoreManager.h"

#include <algorithm>

#include "damasklink/state/Text.h"
#include "damasklink/state/Units.h"

namespace damasklink {
namespace {

constexpr double kTokensPerRecomputeUnit = 1000;

DirectoryOptions
DirectoryOptionsOf(const StoreManagerOptions& aOptions)
{
  return {
    aOptions.declared.memory, aOptions.declared.disk, aOptions.pinLease, aOptions.writeLease
  };
}

auto
LinkBusy()
{
  return Fail(
    ErrorKind::Overloaded, "the budget of the store's link is used up", "retry in a moment");
}

} // namespace

StoreManager::StoreManager(const Clock& aClock,
                           FencingNumber aFencing,
                           StoreManagerOptions aOptions)
  : options(std::move(aOptions))
  , returns(this->options.returns)
  , directory(aClock, aFencing, DirectoryOptionsOf(this->options), this->returns)
  , link(aClock, this->options.declared.linkBytesPerSecond)
{
}

StoredPrefix
StoreManager::LookUp(const BlockScope& aScope, const std::vector<Digest>& aBlocks)
{
  const bool returning = this->returns.OnPrompt(aBlocks);
  const PrefixMatch match = this->directory.LookUp(aBlocks, aScope);
  StoredPrefix stored;
  stored.store = this->options.store;
  stored.blocks = match.blocks;
  stored.tokens = TokenCount(match.blocks * kBlockTokens);
  stored.bytes = match.bytes;
  stored.freeBytesPerSecond = this->link.RateFor(match.bytes);
  stored.returning = returning;
  return stored;
}

Result<ImportGrant>
StoreManager::GrantImport(const BlockScope& aScope,
                          const std::vector<Digest>& aBlocks,
                          std::uint64_t aFrom,
                          std::uint64_t aTo)
{
  ImportGrant grant;
  const std::uint64_t end =
    std::min({ aTo, aFrom + this->BlocksPerGrant(), std::uint64_t{ aBlocks.size() } });
  std::uint64_t bytes = 0;
  for (std::uint64_t at = aFrom; at < end; ++at) {
    auto pinned = this->directory.Pin(aBlocks[at], aScope);
    if (!pinned) {
      break;
    }
    bytes += pinned.value().header.length.Value();
    grant.blocks.push_back(pinned.value());
  }
  if (grant.blocks.empty()) {
    return Fail(ErrorKind::NotFound, "the block is not in the store", "compute the prompt");
  }
  grant.bytes = ByteCount(bytes);
  if (!this->link.TryAcquire(Transfer::Import, grant.bytes)) {
    for (const PinnedBlock& block : grant.blocks) {
      this->directory.Unpin(block.pin);
    }
    return LinkBusy();
  }
  return grant;
}

void
StoreManager::OnImported(const ImportGrant& aGrant, Duration aElapsed)
{
  for (const PinnedBlock& block : aGrant.blocks) {
    this->directory.Unpin(block.pin);
  }
  this->link.OnMoved(aGrant.bytes, aElapsed);
}

void
StoreManager::OnImportFailed(const ImportGrant& aGrant, const std::vector<Digest>& aCorrupt)
{
  for (const PinnedBlock& block : aGrant.blocks) {
    this->directory.Unpin(block.pin);
    if (std::find(aCorrupt.begin(), aCorrupt.end(), block.header.block) != aCorrupt.end()) {
      this->directory.Drain(block.header.block, block.header.generation);
    }
  }
  this->link.OnFailed(aGrant.bytes);
}

PromptKind
StoreManager::KindOf(const HashedPrompt& aPrompt)
{
  return this->returns.KindOf(
    aPrompt.scope.workspace, TokenCount(aPrompt.blocks.size() * kBlockTokens), aPrompt.returning);
}

void
StoreManager::OnAnswered(const HashedPrompt& aPrompt)
{
  this->returns.OnAnswered(this->KindOf(aPrompt), aPrompt.blocks);
}

bool
StoreManager::IsWorthExporting(const HashedPrompt& aPrompt,
                               std::uint64_t aMissing,
                               PromptKind aKind) const
{
  if (!this->options.costBasedAdmission) {
    return true;
  }
  const double probability = this->returns.ReturnProbability(aKind);
  const auto tokens = static_cast<double>(aMissing * kBlockTokens);
  const double seconds = aPrompt.prefillRate > 0 ? tokens / aPrompt.prefillRate : 0;
  const double saved =
    probability * ((aPrompt.objective.time * seconds) +
                   (aPrompt.objective.recompute * tokens / kTokensPerRecomputeUnit));
  const double mebibytes =
    static_cast<double>(aMissing * this->BlockBytes()) / static_cast<double>(kMebibyte);
  // The blocks are written once, and read once more if the prompt returns.
  const double price = aPrompt.objective.link * mebibytes * (1 + probability);
  return saved > price;
}

Result<ExportGrant>
StoreManager::GrantExport(const HashedPrompt& aPrompt)
{
  const PromptKind kind = this->KindOf(aPrompt);
  const std::uint64_t stored = this->directory.LookUp(aPrompt.blocks, aPrompt.scope).blocks;
  const std::uint64_t missing = aPrompt.blocks.size() - stored;
  if (missing == 0 || !this->IsWorthExporting(aPrompt, missing, kind)) {
    return Fail(ErrorKind::NotFound, "no missing block is worth exporting", "");
  }
  const std::uint64_t count = std::min(missing, this->BlocksPerGrant());
  const ByteCount length(this->BlockBytes());
  const ByteCount wanted(count * length.Value());
  if (!this->link.TryAcquire(Transfer::Export, wanted)) {
    return LinkBusy();
  }
  ExportGrant grant;
  for (std::uint64_t at = stored; at < stored + count; ++at) {
    auto reserved = this->directory.Reserve(aPrompt.blocks[at], aPrompt.scope, length, kind);
    if (reserved) {
      grant.blocks.push_back(reserved.value());
    } else if (reserved.error().kind == ErrorKind::Overloaded) {
      break;
    }
  }
  grant.bytes = ByteCount(grant.blocks.size() * length.Value());
  this->link.OnUnused(ByteCount(wanted.Value() - grant.bytes.Value()));
  if (grant.blocks.empty()) {
    return Fail(ErrorKind::NotFound, "the store has no space for the missing blocks", "");
  }
  for (const ReservedBlock& block : grant.blocks) {
    (void)this->directory.BeginWriting(block.block, block.generation);
  }
  return grant;
}

void
StoreManager::OnExported(const ExportGrant& aGrant,
                         const std::vector<ExportedBlock>& aExported,
                         Duration aElapsed)
{
  for (const ExportedBlock& block : aExported) {
    (void)this->directory.Seal(block.block, block.generation, block.length, block.checksum);
  }
  for (const ReservedBlock& block : aGrant.blocks) {
    this->directory.Abandon(block.block, block.generation);
  }
  if (aExported.empty()) {
    this->link.OnFailed(aGrant.bytes);
  } else {
    this->link.OnMoved(aGrant.bytes, aElapsed);
  }
}

std::uint64_t
StoreManager::BlockBytes() const
{
  return this->options.declared.bytesPerToken.Value() * kBlockTokens;
}

std::uint64_t
StoreManager::BlocksPerGrant() const
{
  const double seconds = std::chrono::duration<double>(this->options.chunk).count();
  const auto budget = static_cast<double>(this->options.declared.linkBytesPerSecond.Value());
  const std::uint64_t bytes = std::max<std::uint64_t>(1, this->BlockBytes());
  return std::max<std::uint64_t>(1, static_cast<std::uint64_t>(budget * seconds) / bytes);
}

} // namespace damasklink
