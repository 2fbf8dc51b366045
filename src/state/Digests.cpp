#include "damasklink/state/Digests.h"

#include <array>

#include "damasklink/state/Text.h"
#include <absl/strings/escaping.h>
#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace damasklink {

Digest
DigestOf(std::string_view aText)
{
  const auto bytes = DigestBytes(aText);
  const std::string_view raw(reinterpret_cast<const char*>(bytes.data()), bytes.size());
  return Digest(absl::BytesToHexString(ForAbsl(raw)));
}

std::array<std::uint8_t, 32>
DigestBytes(std::string_view aText)
{
  std::array<std::uint8_t, SHA256_DIGEST_LENGTH> bytes{};
  SHA256(reinterpret_cast<const unsigned char*>(aText.data()), aText.size(), bytes.data());
  return bytes;
}

bool
EqualInConstantTime(const Digest& aLeft, const Digest& aRight)
{
  if (aLeft.Value().size() != aRight.Value().size()) {
    return false;
  }
  return CRYPTO_memcmp(aLeft.Value().data(), aRight.Value().data(), aLeft.Value().size()) == 0;
}

} // namespace damasklink
