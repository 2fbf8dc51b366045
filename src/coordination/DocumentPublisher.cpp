#include "damasklink/coordination/DocumentPublisher.h"

#include <algorithm>
#include <string_view>

#include "damasklink/state/Bytes.h"
#include "damasklink/state/PackedText.h"

namespace damasklink {
namespace {

// The total size of the kept versions, which newer ones are compressed against: six versions of
// 4,000 routes. An entry host that is further behind gets the full document.
constexpr std::size_t kMostKeptBytes = 8 * kMebibyte;

// The maximum number of kept versions, however small they are. It also bounds the packed forms,
// which are evicted with their versions.
constexpr std::size_t kMostDocuments = 32;

} // namespace

void
DocumentPublisher::Publish(Revision aVersion, const std::string& aDocument)
{
  const Revision newest = this->documents.empty() ? Revision() : this->documents.rbegin()->first;
  if (aVersion <= newest) {
    return;
  }
  this->documents.emplace(aVersion, aDocument);
  this->documentBytes += aDocument.size();
  while (this->documents.size() > 1 &&
         (this->documentBytes > kMostKeptBytes || this->documents.size() > kMostDocuments)) {
    this->DropOldest();
  }
}

void
DocumentPublisher::DropOldest()
{
  const auto oldest = this->documents.begin();
  const Revision version = oldest->first;
  this->documentBytes -= oldest->second.size();
  this->documents.erase(oldest);
  std::erase_if(this->packed, [&](const auto& aItem) {
    return aItem.first.first == version || aItem.first.second == version;
  });
}

// Returns the packed form, which is created on first use, or null if the version is not kept. If
// the base is not kept, packs the full document.
const DocumentPublisher::Packed*
DocumentPublisher::Find(Revision aVersion, Revision aBase)
{
  const auto document = this->documents.find(aVersion);
  if (document == this->documents.end()) {
    return nullptr;
  }
  const auto base = aBase < aVersion ? this->documents.find(aBase) : this->documents.end();
  const bool hasBase = base != this->documents.end();
  const Versions versions(aVersion, hasBase ? aBase : Revision());
  const auto [found, added] = this->packed.try_emplace(versions);
  Packed& packed = found->second;
  if (added) {
    packed.bytes =
      PackText(document->second, hasBase ? std::string_view(base->second) : std::string_view());
    packed.id =
      TransferId{ versions.first, versions.second, packed.bytes.size(), Crc32c(packed.bytes) };
  }
  return &packed;
}

std::optional<DocumentChunk>
DocumentPublisher::Answer(const DocumentRequest& aRequest)
{
  const TransferId& started = aRequest.transfer;
  const std::uint64_t most = std::min(aRequest.mostBytes, kMostChunkBytes);
  if (started.version != Revision()) {
    const Packed* found = this->Find(started.version, started.base);
    if (found != nullptr && found->id == started && aRequest.offset < started.bytes) {
      return DocumentChunk{ started, aRequest.offset, found->bytes.substr(aRequest.offset, most) };
    }
  }
  if (this->documents.empty() || this->documents.rbegin()->first <= aRequest.held) {
    return std::nullopt;
  }
  const Packed* newest = this->Find(this->documents.rbegin()->first, aRequest.held);
  return DocumentChunk{ newest->id, 0, newest->bytes.substr(0, most) };
}

} // namespace damasklink
