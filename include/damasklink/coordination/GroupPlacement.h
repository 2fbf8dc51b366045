// Which groups there are and which hosts vote in them, from the settings alone.
#pragma once

#include <vector>

#include "damasklink/state/Ids.h"
#include "damasklink/state/Settings.h"

namespace damasklink {

// Returns the group that homes the claims and store leases of a zone: its own when a host of the
// zone has a disk, else that of the next zone, in the order of their names, which has one. Empty
// when no host has a disk.
GroupId
ClaimsHomeGroup(const std::vector<PeerSettings>& aPeers, const ZoneId& aZone);

// Returns the hosts that are to vote in a group, in the order of their names; none for a group
// that does not exist.
std::vector<HostId>
ListedVoters(const std::vector<PeerSettings>& aPeers, const GroupId& aGroup);

// Returns the groups in which a host votes, control first.
std::vector<GroupId>
GroupsOf(const std::vector<PeerSettings>& aPeers, const HostId& aHost);

} // namespace damasklink
