// What the bench of the configuration measures on: workspaces of one shape, and nine hosts.
#pragma once

#include <string>
#include <vector>

#include "damasklink/state/Settings.h"
#include "damasklink/state/Subtree.h"

namespace damasklink::bench {

// Of each workspace, and of each of its teams.
constexpr std::size_t kTeams = 2;
constexpr std::size_t kKeysOfTeam = 2;

constexpr std::size_t kHosts = 9;
constexpr std::size_t kHostsOfZone = 3;

double
Milliseconds(Duration aDuration);

SharedContent
MakeWorkspace(const std::string& aName, std::uint64_t aShare);

// Returns the settings of one of the nine hosts, without addresses.
HostSettings
SettingsOf(std::size_t aSelf);

// Starts nine whole hosts on loopback, three of them with disks, and prints how long changes take
// until they are accepted and in force everywhere. Uses 90 ports from the first on.
int
MeasureInForce(std::uint16_t aBasePort);

} // namespace damasklink::bench
