#include "damasklink/state/Digests.h"

#include <algorithm>
#include <array>

#include "damasklink/state/Text.h"
#include <absl/strings/escaping.h>
#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace damasklink {

Digest
DigestOf(std::string_view aText)
{
  return UnpackDigest(PackedDigestOf(aText));
}

DigestBytes
PackedDigestOf(std::string_view aText)
{
  DigestBytes bytes{};
  SHA256(reinterpret_cast<const unsigned char*>(aText.data()), aText.size(), bytes.data());
  return bytes;
}

bool
IsDigest(const Digest& aDigest)
{
  constexpr std::size_t kDigits = 2 * sizeof(DigestBytes);
  const std::string& text = aDigest.Value();
  return text.size() == kDigits && text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

DigestBytes
PackDigest(const Digest& aDigest)
{
  DigestBytes bytes{};
  if (IsDigest(aDigest)) {
    const std::string raw = absl::HexStringToBytes(aDigest.Value());
    std::copy(raw.begin(), raw.end(), bytes.begin());
  }
  return bytes;
}

Digest
UnpackDigest(const DigestBytes& aBytes)
{
  const std::string_view raw(reinterpret_cast<const char*>(aBytes.data()), aBytes.size());
  return Digest(absl::BytesToHexString(ForAbsl(raw)));
}

bool
EqualInConstantTime(const Digest& aLeft, const Digest& aRight)
{
  if (aLeft.Value().size() != aRight.Value().size()) {
    return false;
  }
  return CRYPTO_memcmp(aLeft.Value().data(), aRight.Value().data(), aLeft.Value().size()) == 0;
}

std::uint32_t
ShortHash(std::string_view aText)
{
  constexpr std::uint32_t kStart = 2'166'136'261U;
  constexpr std::uint32_t kFactor = 16'777'619U;
  std::uint32_t hash = kStart;
  for (const char character : aText) {
    hash ^= static_cast<unsigned char>(character);
    hash *= kFactor;
  }
  return hash;
}

std::uint32_t
MixedHash(std::string_view aText)
{
  // The finalizer of MurmurHash3.
  std::uint32_t mixed = ShortHash(aText);
  mixed = (mixed ^ (mixed >> 16U)) * 0x85ebca6bU;
  mixed = (mixed ^ (mixed >> 13U)) * 0xc2b2ae35U;
  return mixed ^ (mixed >> 16U);
}

} // namespace damasklink
