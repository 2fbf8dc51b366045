#include "damasklink/coordination/DocumentPublisher.h"

#include <algorithm>
#include <string_view>

#include "damasklink/state/Bytes.h"
#include "damasklink/state/PackedText.h"

namespace damasklink {
namespace {

// What is kept of earlier versions, to pack newer ones against: six versions of 4,000 routes. An
// entry host that is further behind gets the document whole.
constexpr std::size_t kMostKeptBytes = 8 * kMebibyte;

// Versions that are kept however small they are: what was packed of them goes with them.
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

// Returns the transfer, packed now if need be; null when the version is not kept. A base that is
// not kept stands for none.
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
DocumentPublisher::Answer(const DocumentRequest& aQuestion)
{
  const TransferId& begun = aQuestion.transfer;
  const std::uint64_t most = std::min(aQuestion.mostBytes, kMostChunkBytes);
  if (begun.version != Revision()) {
    const Packed* found = this->Find(begun.version, begun.base);
    if (found != nullptr && found->id == begun && aQuestion.offset < begun.bytes) {
      return DocumentChunk{ begun, aQuestion.offset, found->bytes.substr(aQuestion.offset, most) };
    }
  }
  if (this->documents.empty() || this->documents.rbegin()->first <= aQuestion.held) {
    return std::nullopt;
  }
  const Packed* newest = this->Find(this->documents.rbegin()->first, aQuestion.held);
  return DocumentChunk{ newest->id, 0, newest->bytes.substr(0, most) };
}

} // namespace damasklink
