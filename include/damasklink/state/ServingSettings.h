// The settings of a process of a serving deployment: who it is, where it listens, what it is
// bounded by. What operators change while it runs is the serving configuration.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "damasklink/state/Clock.h"
#include "damasklink/state/Ids.h"
#include "damasklink/state/Settings.h"
#include "damasklink/state/Units.h"

namespace damasklink {

// How many sends beyond the first of each call all hosts together may make.
struct RetryAllowance
{
  // Of the calls for a service.
  double share = 0.2;
  // On top of the share, in each window.
  double reserve = 58;
  Duration window = std::chrono::seconds(10);
};

// The region of each availability zone.
using ZoneRegions = std::map<ZoneId, RegionId>;

struct ServingSettings
{
  // The host's IP number, by which other hosts reach it.
  HostId host;
  // For people.
  std::string name;
  ZoneId zone;
  // The availability zones of the deployment, each with its region.
  ZoneRegions regions;
  // Callers of an entry host.
  Endpoint callers;
  // Where the balancer asks whether an entry host is ready.
  Endpoint readiness;
  // Targets and operators of a control host.
  Endpoint control;
  // Where metrics are served; port 0 for nowhere.
  Endpoint metrics;
  // Where hosts connect to each other; the same port on all hosts.
  std::uint16_t peerPort = 0;
  // Where entry hosts connect to each other to forward calls; the same port on all hosts, 0 for
  // none.
  std::uint16_t forwardingPort = 0;
  // Control hosts to begin with; some may be gone.
  std::vector<HostId> seeds;
  // The deployment starts for the first time, with empty disks.
  bool firstStart = false;
  // Empty on a host without a disk.
  std::string dataFolder;
  // What the process may use in total; it is ended beyond that.
  ByteCount memory{ 256 * kMebibyte };
  // Between two signs of life of a target.
  Duration targetHeartbeat = std::chrono::milliseconds(1200);
  // From SIGTERM until the process is killed.
  Duration stopWithin = std::chrono::seconds(8);
  // Orders of two holders must be this far apart.
  Duration orderLease = std::chrono::seconds(3);
  // From an accepted version of weights until no call begins on an older one.
  Duration weightsWithin = std::chrono::seconds(10);
  RetryAllowance retries;
  // Share of the calls of a service that all entry hosts together may send to a second target as
  // well, when the first is slow; 0 for none.
  double hedgeShare = 0;
};

} // namespace damasklink
