#include "damasklink/coordination/IdempotencyKeys.h"

#include <algorithm>

#include <absl/strings/numbers.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_split.h>

#include "damasklink/state/Digests.h"
#include "damasklink/state/Text.h"

namespace damasklink {
namespace {

// Prefix of minted keys; a caller's own key must not begin with it.
constexpr std::string_view kMintedPrefix = "dk1~";
constexpr std::size_t kChecksumDigits = 16;
// Prefix, home zone, creation time, random part, checksum.
constexpr std::size_t kMintedFields = 5;
constexpr char kFieldSeparator = '~';

std::string
Checksum(const WorkspaceId& aWorkspace, std::string_view aBody)
{
  const Digest digest =
    DigestOf(Concat("minted key/", aWorkspace.Value().size(), "/", aWorkspace.Value(), aBody));
  return digest.Value().substr(0, kChecksumDigits);
}

auto
InvalidKey(std::string_view aProblem)
{
  return Fail(ErrorKind::InvalidArgument,
              Concat("the idempotency key ", aProblem),
              "send a key from POST /v1/keys unchanged, or one of your own of 1 to 255 visible "
              "characters that does not begin with 'dk1~'");
}

bool
IsVisible(char aCharacter)
{
  return aCharacter > ' ' && aCharacter <= '~';
}

Result<KeyOrigin>
ReadMintedKey(const WorkspaceId& aWorkspace, const std::string& aText)
{
  const std::vector<std::string> fields = absl::StrSplit(aText, kFieldSeparator);
  if (fields.size() != kMintedFields || fields.back().size() != kChecksumDigits) {
    return InvalidKey("is truncated or damaged");
  }
  const std::string_view body = std::string_view(aText).substr(0, aText.size() - kChecksumDigits);
  std::uint64_t milliseconds = 0;
  const bool readable = absl::SimpleHexAtoi(fields[2], &milliseconds);
  if (!readable || fields.back() != Checksum(aWorkspace, body)) {
    return InvalidKey("is damaged, or was minted for another workspace");
  }
  KeyOrigin origin;
  origin.home = ZoneId(fields[1]);
  origin.createdAt = WallTime(std::chrono::milliseconds(milliseconds));
  return origin;
}

} // namespace

IdempotencyKey
MintKey(const WorkspaceId& aWorkspace,
        const ZoneId& aHome,
        WallTime aCreatedAt,
        std::string_view aRandom)
{
  using Milliseconds = std::chrono::milliseconds;
  const auto createdAt = std::chrono::duration_cast<Milliseconds>(aCreatedAt.time_since_epoch());
  const std::string body = absl::StrFormat("%s%s~%x~%s~",
                                           ForAbsl(kMintedPrefix),
                                           aHome.Value(),
                                           static_cast<std::uint64_t>(createdAt.count()),
                                           ForAbsl(aRandom));
  return IdempotencyKey(body + Checksum(aWorkspace, body));
}

Result<KeyOrigin>
ReadKeyOrigin(const WorkspaceId& aWorkspace, const IdempotencyKey& aKey)
{
  const std::string& text = aKey.Value();
  if (text.empty() || text.size() > kMaxKeyBytes) {
    return InvalidKey("is empty or too long");
  }
  if (!std::all_of(text.begin(), text.end(), IsVisible)) {
    return InvalidKey("contains a character that is not visible ASCII");
  }
  if (text.starts_with(kMintedPrefix)) {
    return ReadMintedKey(aWorkspace, text);
  }
  return KeyOrigin();
}

ZoneId
RendezvousHome(const WorkspaceId& aWorkspace,
               const IdempotencyKey& aKey,
               const std::vector<ZoneId>& aZones)
{
  const auto weight = [&](const ZoneId& aZone) {
    return DigestOf(
      Concat(aZone.Value(), "/", aWorkspace.Value().size(), "/", aWorkspace.Value(), aKey.Value()));
  };
  return *std::max_element(
    aZones.begin(), aZones.end(), [&](const ZoneId& aLeft, const ZoneId& aRight) {
      return weight(aLeft) < weight(aRight);
    });
}

} // namespace damasklink
