#include "damasklink/coordination/DocumentFetcher.h"

#include <algorithm>

#include "damasklink/state/Units.h"

namespace damasklink {
namespace {

// A piece takes 13 ms of a link of 10 Mbit/s; calls that come in between wait that long for it.
constexpr std::uint64_t kStartPieceBytes = 16 * kKibibyte;
constexpr std::uint64_t kLeastPieceBytes = 4 * kKibibyte;

// A piece that came sooner may be twice as large next time, one that came later half as large.
// Round trips between zones take 1 to 5 ms, and calls with a first answer due in 300 ms bear this
// much.
constexpr Duration kSoon = std::chrono::milliseconds(25);
constexpr Duration kLate = std::chrono::milliseconds(80);

// How long a piece is waited for until another control host is asked for it: some 20 ms on an idle
// link of 10 Mbit/s, some hundreds on a full one; changes may take two seconds to be in force, and
// two of three control hosts may be silent. Doubled each time that all were asked in vain, since a
// link that is this full must not get every piece many times.
constexpr Duration kStartPatience = std::chrono::milliseconds(500);
constexpr Duration kMostPatience = std::chrono::seconds(4);

// Versions whose announcement is remembered, for the time until they are in force; a host that gets
// none stays bounded.
constexpr std::size_t kMostAnnounced = 64;

} // namespace

DocumentFetcher::DocumentFetcher(const Clock& aClock)
  : clock(aClock)
  , patience(kStartPatience)
  , chunkBytes(kStartPieceBytes)
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
  if (aVersion > this->held && this->announcedAt.size() < kMostAnnounced) {
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
  this->silent.erase(aSource);
  if (this->asked && this->asked->source == aSource) {
    this->asked.reset();
  }
}

void
DocumentFetcher::OnVersionInstalled(Revision aVersion)
{
  this->held = std::max(this->held, aVersion);
  this->wantsWhole = false;
  std::erase_if(this->announcedAt, [&](const auto& aItem) { return aItem.first <= this->held; });
}

void
DocumentFetcher::OnUnpackFailed(const TransferId& aTransfer)
{
  if (aTransfer.base == Revision()) {
    this->unreadable = aTransfer.version;
  } else {
    this->wantsWhole = true;
  }
}

// Returns the lowest version that is worth asking for.
Revision
DocumentFetcher::LowestWantedVersion() const
{
  const Revision begun = this->transfer.version;
  return begun != Revision() ? begun : std::max(this->held, this->unreadable).Next();
}

bool
DocumentFetcher::IsWantedVersionAvailable() const
{
  return std::any_of(this->sources.begin(), this->sources.end(), [this](const auto& aSource) {
    return aSource.second >= this->LowestWantedVersion();
  });
}

// A transfer that is begun goes on. Another one takes its place only at its beginning, from the
// control host that was asked and does not have the one that is begun.
bool
DocumentFetcher::IsWanted(const DocumentChunk& aPiece) const
{
  const TransferId& offered = aPiece.transfer;
  const bool fits = offered.base == this->held && !this->wantsWhole;
  const bool usable = offered.base == Revision() || fits;
  const bool bounded =
    offered.bytes <= kMostDocumentBytes && aPiece.offset + aPiece.bytes.size() <= offered.bytes;
  if (offered.version <= this->held || !usable || !bounded || aPiece.bytes.empty()) {
    return false;
  }
  return offered == this->transfer ? aPiece.offset == this->received.size() : aPiece.offset == 0;
}

std::optional<FetchedDocument>
DocumentFetcher::OnChunk(const HostId& aFrom, const DocumentChunk& aPiece)
{
  const bool wasAsked = this->asked && this->asked->source == aFrom;
  const bool begun = this->transfer.version != Revision();
  const bool another = aPiece.transfer != this->transfer;
  if (!this->IsWanted(aPiece) || (begun && another && !wasAsked)) {
    return std::nullopt;
  }
  if (another) {
    this->AbandonTransfer();
    this->transfer = aPiece.transfer;
  }
  this->received += aPiece.bytes;
  this->preferred = aFrom;
  this->OnProgress();
  if (this->received.size() < this->transfer.bytes) {
    return std::nullopt;
  }
  FetchedDocument whole{ this->transfer, std::move(this->received) };
  this->AbandonTransfer();
  return whole;
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
  if (this->asked) {
    const Duration took = this->clock.MonotonicNow() - this->asked->at;
    if (took < kSoon) {
      this->chunkBytes = std::min(this->chunkBytes * 2, kMostChunkBytes);
    } else if (took > kLate) {
      this->chunkBytes = std::max(this->chunkBytes / 2, kLeastPieceBytes);
    }
  }
  this->asked.reset();
  this->silent.clear();
  this->patience = kStartPatience;
}

void
DocumentFetcher::OnSilence()
{
  this->silent.insert(this->asked->source);
  this->asked.reset();
  this->chunkBytes = std::max(this->chunkBytes / 2, kLeastPieceBytes);
}

// Prefers the one that answers soonest. Those that did not answer for this piece come last.
std::optional<HostId>
DocumentFetcher::ChooseSource() const
{
  const Revision least = this->LowestWantedVersion();
  const auto can = [&](const HostId& aHost, Revision aVersion) {
    return aVersion >= least && !this->silent.contains(aHost);
  };
  const auto soonest = this->sources.find(this->preferred);
  if (soonest != this->sources.end() && can(soonest->first, soonest->second)) {
    return soonest->first;
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

// Returns whom to ask; those that did not answer are tried again once nobody else is left.
std::optional<HostId>
DocumentFetcher::ChooseSourceOrRetry()
{
  std::optional<HostId> source = this->ChooseSource();
  if (!source && !this->silent.empty()) {
    this->silent.clear();
    this->patience = std::min(this->patience * 2, kMostPatience);
    source = this->ChooseSource();
  }
  return source;
}

std::optional<OutgoingDocumentRequest>
DocumentFetcher::Next()
{
  if (!this->IsWantedVersionAvailable()) {
    // Nobody has what was begun any more; what others have may still be newer than what is held.
    this->AbandonTransfer();
  }
  if (!this->IsWantedVersionAvailable()) {
    this->asked.reset();
    return std::nullopt;
  }
  const MonotonicTime now = this->clock.MonotonicNow();
  if (this->asked && now - this->asked->at < this->patience) {
    return std::nullopt;
  }
  std::optional<HostId> missing;
  if (this->asked) {
    missing = this->asked->source;
    this->OnSilence();
  }
  const std::optional<HostId> source = this->ChooseSourceOrRetry();
  if (!source) {
    return std::nullopt;
  }
  this->asked = Asked{ *source, now };
  DocumentRequest question;
  question.held = this->wantsWhole ? Revision() : this->held;
  question.transfer = this->transfer;
  question.offset = this->received.size();
  question.mostBytes = this->chunkBytes;
  return OutgoingDocumentRequest{ *source, question, missing };
}

} // namespace damasklink
