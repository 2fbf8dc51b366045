#include "damasklink/coordination/StreamOriginTable.h"

#include <algorithm>

#include "damasklink/state/Digests.h"

namespace damasklink {

StreamKey
StreamKeyOf(const RequestId& aRequest)
{
  const DigestBytes digest = PackedDigestOf(aRequest.Value());
  std::uint64_t key = 0;
  for (std::size_t index = 0; index < sizeof(key); ++index) {
    key = key << 8U | digest.at(index);
  }
  return StreamKey(key);
}

bool
StreamOriginTable::Add(const StreamOrigin& aOrigin)
{
  const auto found = this->entries.find(aOrigin.stream);
  const bool isKnown = found != this->entries.end();
  if (isKnown && !this->IsExpired(found->second)) {
    return true;
  }
  if (!isKnown && this->entries.size() >= kMaxOrigins) {
    return false;
  }
  const Software& known = *this->software.emplace(aOrigin.service, aOrigin.software).first;
  this->entries[aOrigin.stream] = Entry{ &known, this->clock.MonotonicNow() + aOrigin.keepFor };
  this->added.push_back(aOrigin.stream);
  return true;
}

std::optional<StreamOrigin>
StreamOriginTable::Find(StreamKey aStream) const
{
  const auto found = this->entries.find(aStream);
  if (found == this->entries.end() || this->IsExpired(found->second)) {
    return std::nullopt;
  }
  return this->ToOrigin(aStream, found->second);
}

std::vector<StreamOrigin>
StreamOriginTable::TakeAdded()
{
  std::vector<StreamOrigin> taken;
  for (const StreamKey stream : std::exchange(this->added, {})) {
    if (const std::optional<StreamOrigin> origin = this->Find(stream)) {
      taken.push_back(*origin);
    }
  }
  return taken;
}

std::vector<StreamOrigin>
StreamOriginTable::All() const
{
  std::vector<StreamOrigin> all;
  for (const auto& [stream, entry] : this->entries) {
    if (!this->IsExpired(entry)) {
      all.push_back(this->ToOrigin(stream, entry));
    }
  }
  return all;
}

void
StreamOriginTable::ResendAll()
{
  this->added.clear();
  for (const auto& [stream, entry] : this->entries) {
    this->added.push_back(stream);
  }
}

void
StreamOriginTable::RemoveExpired()
{
  absl::erase_if(this->entries,
                 [this](const auto& aItem) { return this->IsExpired(aItem.second); });
}

StreamOrigin
StreamOriginTable::ToOrigin(StreamKey aStream, const Entry& aEntry) const
{
  return StreamOrigin{ aStream,
                       aEntry.software->first,
                       aEntry.software->second,
                       aEntry.expiresAt - this->clock.MonotonicNow() };
}

bool
StreamOriginTable::IsExpired(const Entry& aEntry) const
{
  return aEntry.expiresAt <= this->clock.MonotonicNow();
}

} // namespace damasklink
