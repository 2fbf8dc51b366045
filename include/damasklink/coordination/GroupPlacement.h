// Derives from the settings alone which groups exist and which hosts vote in them.
#pragma once

#include <vector>

#include "damasklink/state/Ids.h"
#include "damasklink/state/Settings.h"

namespace damasklink {

// Returns the group that is responsible for the claims and store leases of a zone. This is the
// zone's own group if a host of the zone has a disk; otherwise that of the next zone by name,
// wrapping around, that has one. Empty if no host has a disk.
GroupId
ClaimsHomeGroup(const std::vector<PeerSettings>& aPeers, const ZoneId& aZone);

// Returns the hosts that vote in a group, sorted by name; empty for a group that does not exist.
std::vector<HostId>
ListedVoters(const std::vector<PeerSettings>& aPeers, const GroupId& aGroup);

// Returns the groups in which a host votes, the control group first.
std::vector<GroupId>
GroupsOf(const std::vector<PeerSettings>& aPeers, const HostId& aHost);

} // namespace damasklink
