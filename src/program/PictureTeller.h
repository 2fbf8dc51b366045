// What one control host tells entry hosts and the other control hosts.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "ControlPicture.h"
#include "ServingGroup.h"
#include "StoreWatcher.h"
#include "WorkStatistics.h"
#include "damasklink/coordination/CrashLedger.h"
#include "damasklink/coordination/DocumentPublisher.h"
#include "damasklink/coordination/HostRegistry.h"
#include "damasklink/coordination/RateLimitAllocator.h"
#include "damasklink/coordination/RecentHosts.h"
#include "damasklink/coordination/SendsHub.h"
#include "damasklink/transport/PeerMesh.h"

namespace damasklink {

// Makes pictures of what this control host knows and sends them. Requires what it is made of to
// outlive it. Not thread-safe.
class PictureTeller
{
public:
  PictureTeller(const Clock& aClock,
                const ServingSettings& aSettings,
                const ServingGroup& aGroup,
                const StoreWatcher& aStores,
                ControlPicture& aPicture,
                HostRegistry& aRoster,
                CrashLedger& aCrashes,
                PeerMesh& aMesh,
                WorkStatistics& aAccount);

  // Tells what has changed of targets and hosts since the last call.
  void TellChanges();

  // Tells all entry hosts which configuration and weights are in force.
  void TellStanding();

  // Gives an entry host the next piece of the configuration document.
  void Answer(const HostId& aEntryHost, const DocumentRequest& aQuestion);

  // Tells changes in stores to the entry hosts that listen to this control host for them.
  void TellStores(const std::vector<StoreUpdate>& aStatements);

  // Tells a control host that was just connected who this one is and what it knows.
  void GreetControlHost(const HostId& aPeer);

  // Tells an entry host that was just connected everything but stored parts.
  void TellAll(const HostId& aEntryHost);

  // Takes what an entry host has at targets, or the sum of another control host.
  void TakeSends(const HostId& aFrom, const LoadReport& aNews);

  // Tells the sums of this host to the other control hosts, and the totals to the entry hosts that
  // tell this one what they have.
  void TellSends();

  // Returns whether something urgent was taken that is not told yet.
  bool HasUrgentSends() const { return this->urgentWaits; }

  // A host's connection to this one is lost.
  void OnLost(const HostId& aHost) { this->sends.Remove(aHost); }

private:
  ServingUpdate BarePicture() const;
  ServingUpdate BasePicture() const;
  void TellAllStores(const HostId& aEntryHost);
  void TellAllTargets(const HostId& aHost);
  void Tell(Work aWork, const HostId& aTo, const ServingMessage& aMessage);
  void TellEntryHosts(Work aWork, const ServingMessage& aMessage);
  void TellControlHosts(Work aWork, const ServingMessage& aMessage);
  void TellTellers(Work aWork, const ServingMessage& aMessage);
  void Send(Work aWork, const HostId& aTo, std::string aPayload);
  void TellTotals();
  void TakeUrgent(bool aOfOwnHosts);
  void TakeCrashes(const LoadReport& aNews, bool aOfOwnHost);
  void TellAllReports(const HostId& aControlHost);
  void TakeLimits(const LoadReport& aNews, bool aOfOwnHost);
  std::vector<TargetLimit> LimitShares() const;
  void TellLimits();

  const Clock& clock;
  const ServingSettings& settings;
  const ServingGroup& group;
  const StoreWatcher& stores;
  ControlPicture& picture;
  HostRegistry& roster;
  CrashLedger& crashes;
  PeerMesh& mesh;
  WorkStatistics& account;
  SendsHub sends;
  DocumentPublisher document;
  // When entry hosts were told totals last.
  MonotonicTime toldTotals;
  // An urgent word of an entry host, or of any host, waits for the next telling.
  bool ownUrgentWaits = false;
  bool urgentWaits = false;
  // All targets as they are told to who connects, and what that was made of: hundreds of hosts
  // connect at once, and each is told the same.
  std::string allTargets;
  ServingUpdate allTargetsBase;
  std::uint64_t allTargetsRevision = 0;
  // What entry hosts were told last.
  std::uint64_t toldEntryHosts = 0;
  bool toldIsolated = false;
  std::map<ModelName, std::uint64_t> toldWeights;
  EvacuatedZones toldEvacuated;
  CrashingRequests toldCrashing;
  // What own entry hosts reported, for the other control hosts.
  std::vector<CrashReport> untoldCrashes;
  std::vector<SuccessfulRun> untoldSound;
  // Since when this host has heard others tell of entry hosts.
  MonotonicTime startedAt;
  RecentHosts recentHosts;
  RateLimitAllocator limits;
  std::vector<TargetLimit> toldLimits;
  // What own entry hosts reported, for the other control hosts.
  std::vector<LimitReport> untoldLimits;
};

} // namespace damasklink
