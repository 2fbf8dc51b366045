#include "damasklink/coordination/BlockHeader.h"

#include <charconv>

#include "damasklink/state/Digests.h"
#include "damasklink/state/Text.h"

namespace damasklink {
namespace {

constexpr std::size_t kHexDigitsPerWord = 16;
constexpr int kHexBase = 16;

Result<void>
Mismatch(std::string_view aField)
{
  return Fail(ErrorKind::Corrupt,
              Concat("a block read from a store differs in its ", aField),
              "discard it and compute the prompt; the store's slot was reused or damaged");
}

} // namespace

Checksum
ChecksumOf(std::string_view aContent)
{
  const std::string digits = DigestOf(aContent).Value();
  std::uint64_t number = 0;
  std::from_chars(digits.data(), digits.data() + kHexDigitsPerWord, number, kHexBase);
  return Checksum(number);
}

Result<void>
CheckBlock(const BlockHeader& aExpected, const BlockHeader& aFound, std::string_view aContent)
{
  if (aExpected.block != aFound.block) {
    return Mismatch("name");
  }
  if (aExpected.scope.workspace != aFound.scope.workspace) {
    return Mismatch("workspace");
  }
  if (aExpected.scope.version != aFound.scope.version) {
    return Mismatch("weight version");
  }
  if (aExpected.scope != aFound.scope) {
    return Mismatch("model or adapter");
  }
  if (aExpected.generation != aFound.generation) {
    return Mismatch("generation");
  }
  if (aExpected.length != aFound.length || aContent.size() != aExpected.length.Value()) {
    return Mismatch("length");
  }
  if (aExpected.checksum != aFound.checksum || ChecksumOf(aContent) != aExpected.checksum) {
    return Mismatch("checksum");
  }
  return Success();
}

} // namespace damasklink
