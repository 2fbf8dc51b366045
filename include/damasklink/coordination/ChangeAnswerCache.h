// Cache of the answers to configuration changes, which makes resent changes idempotent.
//
//   if (auto kept = cache.Find(change.id, fingerprint)) { return *kept; }
//   ... apply the change ...
//   cache.Keep(change.id, fingerprint, answer);
#pragma once

#include <array>
#include <deque>
#include <optional>

#include <absl/container/flat_hash_map.h>

#include "damasklink/coordination/ConfigChange.h"

namespace damasklink {

// Keeps the answers of the last kKept change ids: about a day at 97,000 changes a day.
// Deterministic: the same calls in the same order result in the same content on every replica. Not
// thread-safe.
class ChangeAnswerCache
{
public:
  static constexpr std::size_t kKept = 100'000;

  // The first 8 bytes of the digest of a change's content.
  using Fingerprint = std::uint64_t;

  // Returns the kept answer, an IdReused answer if the id was used with other content, or nothing.
  std::optional<ChangeAnswer> Find(const ChangeId& aId, Fingerprint aContent) const;

  // Adds an answer and evicts the oldest one beyond kKept. Requires that Find() returned nothing.
  void Keep(const ChangeId& aId, Fingerprint aContent, const ChangeAnswer& aAnswer);

  void Pack(CompactWriter& aTo) const;
  // Marks the reader as bad if the bytes are no packed answers.
  static ChangeAnswerCache Unpack(CompactReader& aFrom);

private:
  // The first 16 bytes of the digest of the change id, which take less memory than the id.
  using Key = std::array<unsigned char, 16>;

  struct Kept
  {
    Fingerprint content = 0;
    ChangeAnswer answer;
  };

  static Key KeyOf(const ChangeId& aId);
  void Insert(const Key& aKey, const Kept& aKept);

  absl::flat_hash_map<Key, Kept> answers;
  // The keys, oldest first.
  std::deque<Key> order;
};

// Returns the first 8 bytes of the digest of aBytes.
ChangeAnswerCache::Fingerprint
FingerprintOf(std::string_view aBytes);

} // namespace damasklink
