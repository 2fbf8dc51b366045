// Idempotency keys, which callers send so that a call runs at most once. They are minted by this
// system or chosen by the caller.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "damasklink/state/Clock.h"
#include "damasklink/state/Error.h"
#include "damasklink/state/Ids.h"

namespace damasklink {

// Longest key that is accepted, in bytes.
constexpr std::size_t kMaxKeyBytes = 255;

// What a minted key contains. Both fields are empty for a caller's own key.
struct KeyOrigin
{
  std::optional<ZoneId> home;
  std::optional<WallTime> createdAt;

  bool operator==(const KeyOrigin&) const = default;
};

// Returns a new key for the workspace, with its home zone and its creation time in milliseconds.
//
//   IdempotencyKey key = MintKey(workspace, zone, clock.WallNow(), random);
//
// aRandom holds at least 128 random bits as text. The key ends with a checksum that also covers the
// workspace, so a damaged key or one of another workspace is refused. The checksum is not a
// signature: with a forged key a caller reaches only claims of its own workspace.
IdempotencyKey
MintKey(const WorkspaceId& aWorkspace,
        const ZoneId& aHome,
        WallTime aCreatedAt,
        std::string_view aRandom);

// Parses a key that a caller of aWorkspace sent. Fails with InvalidArgument for an empty or
// overlong key, characters that are not visible ASCII, and a minted key with a wrong checksum.
Result<KeyOrigin>
ReadKeyOrigin(const WorkspaceId& aWorkspace, const IdempotencyKey& aKey);

// Returns the zone whose claims group handles a key without a home zone, by rendezvous hashing. The
// result is the same on every host that knows the same zones. Requires at least one zone.
ZoneId
RendezvousHome(const WorkspaceId& aWorkspace,
               const IdempotencyKey& aKey,
               const std::vector<ZoneId>& aZones);

} // namespace damasklink
