// The answers to changes, kept so that a change sent again gets its first answer.
#pragma once

#include <array>
#include <deque>
#include <optional>

#include <absl/container/flat_hash_map.h>

#include "damasklink/coordination/ConfigChange.h"

namespace damasklink {

// Keeps the answers of the last kKept change ids, about a day at 97,000 changes a day. The same
// calls in the same order give the same content on every replica.
class ChangeAnswerCache
{
public:
  static constexpr std::size_t kKept = 100'000;

  // What was asked under an id, cut short: 8 bytes of its digest.
  using Fingerprint = std::uint64_t;

  // Returns the kept answer, IdReused when the id was used for something else, or nothing.
  std::optional<ChangeAnswer> Find(const ChangeId& aId, Fingerprint aContent) const;

  // Keeps an answer, and forgets the oldest one beyond kKept. Requires that Find() found nothing.
  void Keep(const ChangeId& aId, Fingerprint aContent, const ChangeAnswer& aAnswer);

  void Pack(CompactWriter& aTo) const;
  // Turns the reader bad when the bytes are no answers.
  static ChangeAnswerCache Unpack(CompactReader& aFrom);

private:
  // 16 bytes of the id's digest, in place of the id.
  using Key = std::array<unsigned char, 16>;

  struct Kept
  {
    Fingerprint content = 0;
    ChangeAnswer answer;
  };

  static Key KeyOf(const ChangeId& aId);
  void Insert(const Key& aKey, const Kept& aKept);

  absl::flat_hash_map<Key, Kept> answers;
  std::deque<Key> order;
};

// Returns the fingerprint of the bytes.
ChangeAnswerCache::Fingerprint
FingerprintOf(std::string_view aBytes);

} // namespace damasklink
