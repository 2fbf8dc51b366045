#include "damasklink/coordination/GroupPlacement.h"

#include <algorithm>
#include <set>

#include "damasklink/coordination/Replication.h"

namespace damasklink {

GroupId
ClaimsHomeGroup(const std::vector<PeerSettings>& aPeers, const ZoneId& aZone)
{
  std::set<ZoneId> withDisk;
  for (const PeerSettings& peer : aPeers) {
    if (peer.disk) {
      withDisk.insert(peer.zone);
    }
  }
  if (withDisk.empty()) {
    return GroupId();
  }
  const auto next = withDisk.lower_bound(aZone);
  return ClaimsGroupId(next == withDisk.end() ? *withDisk.begin() : *next);
}

std::vector<HostId>
ListedVoters(const std::vector<PeerSettings>& aPeers, const GroupId& aGroup)
{
  std::vector<HostId> voters;
  for (const PeerSettings& peer : aPeers) {
    const bool member = aGroup == ControlGroupId() || aGroup == ClaimsGroupId(peer.zone);
    if (peer.disk && member) {
      voters.push_back(peer.host);
    }
  }
  std::sort(voters.begin(), voters.end());
  return voters;
}

std::vector<GroupId>
GroupsOf(const std::vector<PeerSettings>& aPeers, const HostId& aHost)
{
  for (const PeerSettings& peer : aPeers) {
    if (peer.host == aHost && peer.disk) {
      return { ControlGroupId(), ClaimsGroupId(peer.zone) };
    }
  }
  return {};
}

} // namespace damasklink
