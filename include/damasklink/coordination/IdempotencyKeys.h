// Keys that callers send so that a call runs at most once: minted by this system, or their own.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "damasklink/state/Clock.h"
#include "damasklink/state/Error.h"
#include "damasklink/state/Ids.h"

namespace damasklink {

// Longest key that is taken, in bytes.
constexpr std::size_t kMaxKeyBytes = 255;

// What a key says of itself. A caller's own key says nothing: both fields are empty.
struct KeyOrigin
{
  std::optional<ZoneId> home;
  std::optional<WallTime> birth;

  bool operator==(const KeyOrigin&) const = default;
};

// Returns a fresh key for the workspace that names its home zone and its birth to the millisecond.
//
//   IdempotencyKey key = MintKey(workspace, zone, clock.WallNow(), random);
//
// aRandom holds at least 128 random bits as text. The checksum at its end covers the workspace
// too, so that a mangled key, or one of another workspace, is refused. It is no signature: a
// caller who forges one reaches only claims of its own workspace.
IdempotencyKey
MintKey(const WorkspaceId& aWorkspace,
        const ZoneId& aHome,
        WallTime aBirth,
        std::string_view aRandom);

// Reads a key as its workspace presents it. Fails with InvalidArgument for an empty or overlong
// key, control characters, and a minted key whose checksum does not fit.
Result<KeyOrigin>
ReadKeyOrigin(const WorkspaceId& aWorkspace, const IdempotencyKey& aKey);

// Returns the zone whose group homes a key without a home, by rendezvous hash: alike on every host
// that knows the same zones. Requires at least one zone.
ZoneId
RendezvousHome(const WorkspaceId& aWorkspace,
               const IdempotencyKey& aKey,
               const std::vector<ZoneId>& aZones);

} // namespace damasklink
