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
              "drop it and compute the prompt; the store's slot was reused or damaged");
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
CheckBlock(const BlockHeader& aOrdered, const BlockHeader& aFound, std::string_view aContent)
{
  if (aOrdered.block != aFound.block) {
    return Mismatch("name");
  }
  if (aOrdered.scope.workspace != aFound.scope.workspace) {
    return Mismatch("workspace");
  }
  if (aOrdered.scope.version != aFound.scope.version) {
    return Mismatch("weight version");
  }
  if (aOrdered.scope != aFound.scope) {
    return Mismatch("model or adapter");
  }
  if (aOrdered.generation != aFound.generation) {
    return Mismatch("generation");
  }
  if (aOrdered.length != aFound.length || aContent.size() != aOrdered.length.Value()) {
    return Mismatch("length");
  }
  if (aOrdered.checksum != aFound.checksum || ChecksumOf(aContent) != aOrdered.checksum) {
    return Mismatch("checksum");
  }
  return Success();
}

} // namespace damasklink
