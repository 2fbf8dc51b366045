#include "damasklink/coordination/ChangeAnswerCache.h"

#include <algorithm>
#include <cstring>

#include "damasklink/state/Digests.h"
#include "damasklink/state/Text.h"

namespace damasklink {

std::optional<ChangeAnswer>
ChangeAnswerCache::Find(const ChangeId& aId, Fingerprint aContent) const
{
  const auto found = this->answers.find(KeyOf(aId));
  if (found == this->answers.end()) {
    return std::nullopt;
  }
  if (found->second.content == aContent) {
    return found->second.answer;
  }
  return ChangeAnswer{ ChangeVerdict::IdReused,
                       found->second.answer.revision,
                       Concat("change id '", aId.Value(), "' was used for another change") };
}

void
ChangeAnswerCache::Keep(const ChangeId& aId, Fingerprint aContent, const ChangeAnswer& aAnswer)
{
  this->Insert(KeyOf(aId), Kept{ aContent, aAnswer });
  if (this->order.size() > kKept) {
    this->answers.erase(this->order.front());
    this->order.pop_front();
  }
}

void
ChangeAnswerCache::Pack(CompactWriter& aTo) const
{
  aTo.Number(this->order.size());
  for (const Key& key : this->order) {
    const Kept& kept = this->answers.at(key);
    aTo.Raw(std::string_view(reinterpret_cast<const char*>(key.data()), key.size()));
    aTo.Number(kept.content).Text(PackChangeAnswer(kept.answer));
  }
}

ChangeAnswerCache
ChangeAnswerCache::Unpack(CompactReader& aFrom)
{
  ChangeAnswerCache unpacked;
  const std::size_t count = aFrom.Count();
  for (std::size_t index = 0; index < count && !aFrom.Bad(); ++index) {
    Key key{};
    const std::string_view raw = aFrom.Raw(key.size());
    std::copy(raw.begin(), raw.end(), key.begin());
    const Fingerprint content = aFrom.Number();
    auto answer = UnpackChangeAnswer(aFrom.Text());
    if (!answer) {
      aFrom.MarkBad();
      return unpacked;
    }
    unpacked.Insert(key, Kept{ content, answer.value() });
  }
  return unpacked;
}

ChangeAnswerCache::Key
ChangeAnswerCache::KeyOf(const ChangeId& aId)
{
  const DigestBytes digest = PackDigest(DigestOf(aId.Value()));
  Key key{};
  std::copy_n(digest.begin(), key.size(), key.begin());
  return key;
}

void
ChangeAnswerCache::Insert(const Key& aKey, const Kept& aKept)
{
  if (this->answers.try_emplace(aKey, aKept).second) {
    this->order.push_back(aKey);
  }
}

ChangeAnswerCache::Fingerprint
FingerprintOf(std::string_view aBytes)
{
  const DigestBytes digest = PackDigest(DigestOf(aBytes));
  ChangeAnswerCache::Fingerprint fingerprint = 0;
  static_assert(sizeof(fingerprint) <= sizeof(digest));
  std::memcpy(&fingerprint, digest.data(), sizeof(fingerprint));
  return fingerprint;
}

} // namespace damasklink
