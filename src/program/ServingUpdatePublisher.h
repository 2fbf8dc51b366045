// What one control host tells entry hosts and the other control hosts.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "ServingGroup.h"
#include "StoreWatcher.h"
#include "TargetTracker.h"
#include "WorkAccount.h"
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
class ServingUpdatePublisher
{
public:
  ServingUpdatePublisher(const Clock& aClock,
                         const ServingSettings& aSettings,
                         const ServingGroup& aGroup,
                         const StoreWatcher& aStores,
                         TargetTracker& aTracker,
                         HostRegistry& aHosts,
                         CrashLedger& aCrashes,
                         PeerMesh& aMesh,
                         WorkAccount& aAccount);

  // Tells what has changed of targets and hosts since the last call.
  void PublishChanges();

  // Tells all entry hosts which configuration and weights are in force.
  void PublishGroupState();

  // Gives an entry host the next piece of the configuration document.
  void Answer(const HostId& aEntryHost, const DocumentRequest& aRequest);

  // Tells changes in stores to the entry hosts that listen to this control host for them.
  void PublishStores(const std::vector<StoreUpdate>& aStatements);

  // Tells a control host that was just connected who this one is and what it knows.
  void SendGreeting(const HostId& aPeer);

  // Tells an entry host that was just connected everything but stored parts.
  void SendSnapshot(const HostId& aEntryHost);

  // Takes what an entry host has at targets, or the sum of another control host.
  void OnLoadReport(const HostId& aFrom, const LoadReport& aReport);

  // Tells the sums of this host to the other control hosts, and the totals to the entry hosts that
  // tell this one what they have.
  void PublishLoads();

  // Returns whether something urgent was taken that is not told yet.
  bool HasUrgentReport() const { return this->urgentPending; }

  // A host's connection to this one is lost.
  void OnLost(const HostId& aHost) { this->sends.Remove(aHost); }

private:
  ServingUpdate MakeBaseUpdate() const;
  ServingUpdate MakeStateUpdate() const;
  void SendAllStores(const HostId& aEntryHost);
  void SendAllTargets(const HostId& aHost);
  void EncodeAndSend(Work aWork, const HostId& aTo, const ServingMessage& aMessage);
  void SendToEntryHosts(Work aWork, const ServingMessage& aMessage);
  void SendToControlHosts(Work aWork, const ServingMessage& aMessage);
  void SendToReportingHosts(Work aWork, const ServingMessage& aMessage);
  void Send(Work aWork, const HostId& aTo, std::string aPayload);
  void PublishTotals();
  void OnUrgentReport(bool aFromOwnHosts);
  void AddCrashes(const LoadReport& aReport, bool aFromOwnHost);
  void SendAllReports(const HostId& aControlHost);
  void AddLimitReports(const LoadReport& aReport, bool aFromOwnHost);
  std::vector<TargetLimit> LimitShares() const;
  void PublishLimits();

  const Clock& clock;
  const ServingSettings& settings;
  const ServingGroup& group;
  const StoreWatcher& stores;
  TargetTracker& tracker;
  HostRegistry& hosts;
  CrashLedger& crashes;
  PeerMesh& mesh;
  WorkAccount& account;
  SendsHub sends;
  DocumentPublisher document;
  // When entry hosts were told totals last.
  MonotonicTime totalsPublishedAt;
  // An urgent word of an entry host, or of any host, waits for the next telling.
  bool ownUrgentPending = false;
  bool urgentPending = false;
  // All targets as they are told to who connects, and what that was made of: hundreds of hosts
  // connect at once, and each is told the same.
  std::string allTargets;
  ServingUpdate allTargetsBase;
  std::uint64_t allTargetsRevision = 0;
  // What entry hosts were told last.
  std::uint64_t publishedEntryHosts = 0;
  bool publishedIsolated = false;
  std::map<ModelName, std::uint64_t> publishedWeights;
  EvacuatedZones publishedEvacuated;
  CrashingRequests publishedCrashing;
  // What own entry hosts reported, for the other control hosts.
  std::vector<CrashReport> unpublishedCrashes;
  std::vector<SuccessfulRun> unpublishedSuccesses;
  // Since when this host has heard others tell of entry hosts.
  MonotonicTime startedAt;
  RecentHosts recentHosts;
  RateLimitAllocator limits;
  std::vector<TargetLimit> publishedLimits;
  // What own entry hosts reported, for the other control hosts.
  std::vector<LimitReport> unpublishedLimits;
};

} // namespace damasklink
