#include "damasklink/coordination/PromptParts.h"

#include <cstring>

#include "damasklink/state/Digests.h"
#include "damasklink/state/Text.h"

namespace damasklink {

PartKey
MakePartKey(std::string_view aScope, std::string_view aPart)
{
  // A character that neither text holds stands between them.
  const DigestBytes digest = PackedDigestOf(Concat(aScope, "\n", aPart));
  std::uint64_t key = 0;
  std::memcpy(&key, digest.data(), sizeof(key));
  return PartKey(key);
}

} // namespace damasklink
