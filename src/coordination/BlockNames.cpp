#include "damasklink/coordination/BlockNames.h"

#include <array>
#include <cstring>

#include "damasklink/state/Text.h"
#include <absl/strings/escaping.h>
#include <openssl/sha.h>

namespace damasklink {
namespace {

constexpr std::size_t kBytesPerToken = sizeof(Token);

using RawDigest = std::array<unsigned char, SHA256_DIGEST_LENGTH>;

// The length prefix distinguishes ("ab", "c") from ("a", "bc").
void
AppendField(std::string& aTo, const std::string& aField)
{
  aTo += Concat(aField.size(), ":", aField);
}

RawDigest
Hash(std::string_view aBytes)
{
  RawDigest digest{};
  SHA256(reinterpret_cast<const unsigned char*>(aBytes.data()), aBytes.size(), digest.data());
  return digest;
}

RawDigest
DigestOfScope(const BlockScope& aScope)
{
  std::string text;
  AppendField(text, aScope.workspace.Value());
  AppendField(text, aScope.model.Value());
  AppendField(text, aScope.version.Value());
  AppendField(text, aScope.adapter.Value());
  return Hash(text);
}

Digest
HexOf(const RawDigest& aRaw)
{
  const std::string_view raw(reinterpret_cast<const char*>(aRaw.data()), aRaw.size());
  return Digest(absl::BytesToHexString(ForAbsl(raw)));
}

} // namespace

std::vector<Token>
FourByteTokenizer::Tokenize(std::string_view aPrompt) const
{
  std::vector<Token> tokens((aPrompt.size() + kBytesPerToken - 1) / kBytesPerToken);
  if (!tokens.empty()) {
    std::memcpy(tokens.data(), aPrompt.data(), aPrompt.size());
  }
  return tokens;
}

std::vector<Digest>
NameBlocks(const BlockScope& aScope, const std::vector<Token>& aTokens, std::uint64_t aBlockTokens)
{
  std::vector<Digest> names;
  names.reserve(aTokens.size() / aBlockTokens);
  RawDigest chain = DigestOfScope(aScope);
  std::string bytes(chain.size() + (aBlockTokens * kBytesPerToken), '\0');
  for (std::size_t at = 0; at + aBlockTokens <= aTokens.size(); at += aBlockTokens) {
    std::memcpy(bytes.data(), chain.data(), chain.size());
    std::memcpy(bytes.data() + chain.size(), &aTokens[at], aBlockTokens * kBytesPerToken);
    chain = Hash(bytes);
    names.push_back(HexOf(chain));
  }
  return names;
}

std::uint64_t
BlockHint(const Digest& aBlock)
{
  const std::string& text = aBlock.Value();
  std::array<std::uint64_t, 2> words{};
  std::memcpy(words.data(), text.data(), std::min(text.size(), sizeof(words)));
  // Any odd constant with well-distributed bits will do: the input is a digest, thus uniform.
  constexpr std::uint64_t kMultiplier = 0x9E3779B97F4A7C15ULL;
  return (words[0] * kMultiplier) ^ (words[1] + (words[0] >> 32U));
}

} // namespace damasklink
