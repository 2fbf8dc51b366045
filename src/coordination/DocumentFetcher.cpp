#include "damasklink/coordination/DocumentFetcher.h"

#include <algorithm>

#include "damasklink/state/Units.h"

namespace damasklink {
namespace {

// The initial chunk takes 13 ms on a link of 10 Mbit/s, which delays calls on the same link by as
// much.
constexpr std::uint64_t kInitialChunkBytes = 16 * kKibibyte;
constexpr std::uint64_t kLeastChunkBytes = 4 * kKibibyte;

// The chunk size is doubled after a chunk that took less than kFastChunk, and halved after one that
// took more than kSlowChunk. Round trips between zones take 1 to 5 ms, and calls whose first answer
// is due within 300 ms tolerate delays of this size.
constexpr Duration kFastChunk = std::chrono::milliseconds(25);
constexpr Duration kSlowChunk = std::chrono::milliseconds(80);

// The time after which a chunk is requested from another control host. A chunk takes about 20 ms on
// an idle link of 10 Mbit/s and some hundreds of milliseconds on a saturated one. A change may take
// two seconds to come into force, while two of three control hosts may not respond. The timeout is
// doubled each time all control hosts have timed out, so that a saturated link is not loaded with
// repeated chunks.
constexpr Duration kInitialTimeout = std::chrono::milliseconds(500);
constexpr Duration kMostTimeout = std::chrono::seconds(4);

// Announced versions whose time is kept until they come into force. The limit bounds the memory of
// a host that obtains none of them.
constexpr std::size_t kMostAnnounced = 64;

} // namespace

DocumentFetcher::DocumentFetcher(const Clock& aClock)
  : clock(aClock)
  , timeout(kInitialTimeout)
  , chunkBytes(kInitialChunkBytes)
{
}

void
DocumentFetcher::OnVersionAnnounced(const HostId& aSource, Revision aVersion)
{
  this->sources[aSource] = aVersion;
  if (aVersion > this->newest) {
    this->newest = aVersion;
    this->preferred = aSource;
  }
  if (aVersion > this->installed && this->announcedAt.size() < kMostAnnounced) {
    this->announcedAt.try_emplace(aVersion, this->clock.MonotonicNow());
  }
}

MonotonicTime
DocumentFetcher::AnnouncedAt(Revision aVersion) const
{
  MonotonicTime earliest = this->clock.MonotonicNow();
  for (auto item = this->announcedAt.lower_bound(aVersion); item != this->announcedAt.end();
       ++item) {
    earliest = std::min(earliest, item->second);
  }
  return earliest;
}

void
DocumentFetcher::OnLost(const HostId& aSource)
{
  this->sources.erase(aSource);
  this->timedOut.erase(aSource);
  if (this->pending && this->pending->source == aSource) {
    this->pending.reset();
  }
}

void
DocumentFetcher::OnVersionInstalled(Revision aVersion)
{
  this->installed = std::max(this->installed, aVersion);
  this->wantsFullDocument = false;
  std::erase_if(this->announcedAt,
                [&](const auto& aItem) { return aItem.first <= this->installed; });
}

void
DocumentFetcher::OnUnpackFailed(const TransferId& aTransfer)
{
  if (aTransfer.base == Revision()) {
    this->unreadable = aTransfer.version;
  } else {
    this->wantsFullDocument = true;
  }
}

// Returns the lowest version that is worth requesting: that of the started transfer, if any.
Revision
DocumentFetcher::LowestWantedVersion() const
{
  const Revision started = this->transfer.version;
  return started != Revision() ? started : std::max(this->installed, this->unreadable).Next();
}

bool
DocumentFetcher::IsWantedVersionAvailable() const
{
  return std::any_of(this->sources.begin(), this->sources.end(), [this](const auto& aSource) {
    return aSource.second >= this->LowestWantedVersion();
  });
}

// Returns whether the chunk continues the started transfer or begins another one that can be used.
// OnChunk() additionally requires that a chunk which replaces a started transfer comes from the
// control host that was requested, which then does not have the started one.
bool
DocumentFetcher::IsAcceptable(const DocumentChunk& aChunk) const
{
  const TransferId& offered = aChunk.transfer;
  const bool baseMatches = offered.base == this->installed && !this->wantsFullDocument;
  const bool usable = offered.base == Revision() || baseMatches;
  const bool bounded =
    offered.bytes <= kMostDocumentBytes && aChunk.offset + aChunk.bytes.size() <= offered.bytes;
  if (offered.version <= this->installed || !usable || !bounded || aChunk.bytes.empty()) {
    return false;
  }
  return offered == this->transfer ? aChunk.offset == this->received.size() : aChunk.offset == 0;
}

std::optional<FetchedDocument>
DocumentFetcher::OnChunk(const HostId& aFrom, const DocumentChunk& aChunk)
{
  const bool wasRequested = this->pending && this->pending->source == aFrom;
  const bool started = this->transfer.version != Revision();
  const bool isOtherTransfer = aChunk.transfer != this->transfer;
  if (!this->IsAcceptable(aChunk) || (started && isOtherTransfer && !wasRequested)) {
    return std::nullopt;
  }
  if (isOtherTransfer) {
    this->AbandonTransfer();
    this->transfer = aChunk.transfer;
  }
  this->received += aChunk.bytes;
  this->preferred = aFrom;
  this->OnProgress();
  if (this->received.size() < this->transfer.bytes) {
    return std::nullopt;
  }
  FetchedDocument document{ this->transfer, std::move(this->received) };
  this->AbandonTransfer();
  return document;
}

void
DocumentFetcher::AbandonTransfer()
{
  this->transfer = TransferId();
  this->received.clear();
}

void
DocumentFetcher::OnProgress()
{
  if (this->pending) {
    const Duration took = this->clock.MonotonicNow() - this->pending->sentAt;
    if (took < kFastChunk) {
      this->chunkBytes = std::min(this->chunkBytes * 2, kMostChunkBytes);
    } else if (took > kSlowChunk) {
      this->chunkBytes = std::max(this->chunkBytes / 2, kLeastChunkBytes);
    }
  }
  this->pending.reset();
  this->timedOut.clear();
  this->timeout = kInitialTimeout;
}

void
DocumentFetcher::OnTimeout()
{
  this->timedOut.insert(this->pending->source);
  this->pending.reset();
  this->chunkBytes = std::max(this->chunkBytes / 2, kLeastChunkBytes);
}

// Returns a control host that has a wanted version and did not time out for this chunk, preferably
// the one that answered last, else the one with the newest version.
std::optional<HostId>
DocumentFetcher::ChooseSource() const
{
  const Revision least = this->LowestWantedVersion();
  const auto can = [&](const HostId& aHost, Revision aVersion) {
    return aVersion >= least && !this->timedOut.contains(aHost);
  };
  const auto preferredSource = this->sources.find(this->preferred);
  if (preferredSource != this->sources.end() &&
      can(preferredSource->first, preferredSource->second)) {
    return preferredSource->first;
  }
  std::optional<HostId> chosen;
  Revision newestOfThese;
  for (const auto& [source, version] : this->sources) {
    if (can(source, version) && version > newestOfThese) {
      chosen = source;
      newestOfThese = version;
    }
  }
  return chosen;
}

// As ChooseSource(), but tries the control hosts that timed out again when no other is left.
std::optional<HostId>
DocumentFetcher::ChooseSourceOrRetry()
{
  std::optional<HostId> source = this->ChooseSource();
  if (!source && !this->timedOut.empty()) {
    this->timedOut.clear();
    this->timeout = std::min(this->timeout * 2, kMostTimeout);
    source = this->ChooseSource();
  }
  return source;
}

std::optional<OutgoingDocumentRequest>
DocumentFetcher::Next()
{
  if (!this->IsWantedVersionAvailable()) {
    // No control host has the started transfer any more, but others may have a newer version than
    // the installed one.
    this->AbandonTransfer();
  }
  if (!this->IsWantedVersionAvailable()) {
    this->pending.reset();
    return std::nullopt;
  }
  const MonotonicTime now = this->clock.MonotonicNow();
  if (this->pending && now - this->pending->sentAt < this->timeout) {
    return std::nullopt;
  }
  std::optional<HostId> timedOutSource;
  if (this->pending) {
    timedOutSource = this->pending->source;
    this->OnTimeout();
  }
  const std::optional<HostId> source = this->ChooseSourceOrRetry();
  if (!source) {
    return std::nullopt;
  }
  this->pending = PendingRequest{ *source, now };
  DocumentRequest request;
  request.held = this->wantsFullDocument ? Revision() : this->installed;
  request.transfer = this->transfer;
  request.offset = this->received.size();
  request.mostBytes = this->chunkBytes;
  return OutgoingDocumentRequest{ *source, request, timedOutSource };
}

} // namespace damasklink
