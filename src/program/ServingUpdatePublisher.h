// Sends the state of a control host to entry hosts and to the other control hosts.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "ServingGroup.h"
#include "StoreWatcher.h"
#include "TargetTracker.h"
#include "WorkStatistics.h"
#include "damasklink/coordination/CrashRegistry.h"
#include "damasklink/coordination/DocumentPublisher.h"
#include "damasklink/coordination/HostRegistry.h"
#include "damasklink/coordination/LoadReportAggregator.h"
#include "damasklink/coordination/RateLimitAllocator.h"
#include "damasklink/coordination/RecentHosts.h"
#include "damasklink/coordination/StreamOriginTable.h"
#include "damasklink/coordination/TargetSubsets.h"
#include "damasklink/coordination/WeightAgeTracker.h"
#include "damasklink/transport/PeerMesh.h"

namespace damasklink {

// Makes the messages in which this control host passes on what it knows of targets, hosts, stores,
// load and the group's state, and sends each to the hosts that need it. The objects it is
// constructed with must outlive it. Not thread-safe.
//
// A host "reports to" this one if it is an entry host that has this control host as its hub and
// sends it load reports.
class ServingUpdatePublisher
{
public:
  ServingUpdatePublisher(const Clock& aClock,
                         const ServingSettings& aSettings,
                         const ServingGroup& aGroup,
                         const StoreWatcher& aStores,
                         TargetTracker& aTracker,
                         HostRegistry& aHosts,
                         CrashRegistry& aCrashes,
                         const WeightAgeTracker& aWeightAges,
                         PeerMesh& aMesh,
                         Metrics& aMetrics,
                         WorkStatistics& aAccount);

  // Sends what has changed of targets and hosts since the last call. An entry host is sent only the
  // targets of its subset (TargetSubsets.h).
  void PublishChanges();

  // Sends the version of the configuration document to all entry hosts, and the evacuated zones if
  // they have changed.
  void PublishGroupState();

  // Sends the versions of weights with their ages to all hosts if any has changed, and repeatedly
  // while one is recent.
  void PublishWeights();

  // Answers a request for a chunk of the configuration document.
  void Answer(const HostId& aEntryHost, const DocumentRequest& aRequest);

  // Answers which software version began a stream.
  void Answer(const HostId& aEntryHost, const StreamOriginRequest& aRequest);

  // Sends an entry host those to which it may forward calls.
  void SendForwardingHosts(const HostId& aEntryHost);

  // Sends changes in stores to the entry hosts that report to this one.
  void PublishStores(const std::vector<StoreUpdate>& aUpdates);

  // Sends the content of stores that this host relays to the other control hosts.
  void RelayStores(const std::vector<StoreUpdate>& aUpdates);

  // Sends a greeting and the state of this host to a control host that has just connected.
  void SendGreeting(const HostId& aPeer);

  // Sends everything but stored parts to an entry host that has just connected. Hosts that connect
  // shortly after another one get it with the next PublishChanges(), all the same message.
  void SendSnapshot(const HostId& aEntryHost);

  // Processes the load report of an entry host, or the sum of another control host.
  void OnLoadReport(const HostId& aFrom, const LoadReport& aReport);

  // Sends the load sums of this host to the other control hosts, and the totals to the entry hosts
  // that report to this one.
  void PublishLoads();

  // Removes what is too old to be of use. Must be called periodically.
  void RemoveExpired() { this->origins.RemoveExpired(); }

  // Returns whether an urgent report was received that is not passed on yet.
  bool HasUrgentReport() const { return this->urgentPending; }

  // The connection of a host to this one is lost.
  void OnLost(const HostId& aHost);

private:
  // Entry hosts that use the same targets, and so get the same messages.
  using HostGroups = std::map<SubsetKey, std::vector<HostId>>;
  using GroupTotals = std::map<SubsetKey, LoadReport>;

  enum class TotalsScope
  {
    All,
    Urgent,
  };

  ServingUpdate MakeBaseUpdate() const;
  ServingUpdate MakeStateUpdate() const;
  void SendAllStores(const HostId& aEntryHost);
  void SendPendingSnapshots();
  void SendAllTargets(const HostId& aControlHost);
  void SendTargetsOfGroup(SubsetKey aGroup, const std::vector<HostId>& aEntryHosts);
  void PublishSubsets(SubsetChange aChange);
  void SendTargetChanges(const ServingUpdate& aChanges, bool aStateChanged);
  void SendAllTotals(const HostId& aEntryHost);
  HostGroups GroupsOf(const std::set<HostId>& aEntryHosts) const;
  std::uint32_t SubsetCountOfTarget(const TargetId& aTarget) const;
  void DivideTotals(const LoadReport& aTotals, GroupTotals& aTo) const;
  void EncodeAndSend(Work aWork, const HostId& aTo, const ServingMessage& aMessage);
  void SendToEntryHosts(Work aWork, const ServingMessage& aMessage);
  void SendToControlHosts(Work aWork, const ServingMessage& aMessage);
  void SendToReportingHosts(Work aWork, const ServingMessage& aMessage);
  void SendToHosts(Work aWork, const std::vector<HostId>& aHosts, const std::string& aPayload);
  void Send(Work aWork, const HostId& aTo, std::string aPayload);
  void PublishHeartbeats();
  void PublishSums();
  void PublishTotals(TotalsScope aScope);
  void SendPendingTotals(SubsetKey aGroup, const std::vector<HostId>& aEntryHosts);
  bool IsUrgentFor(SubsetKey aGroup) const;
  void OnUrgentReport(const LoadReport& aReport, bool aFromOwnHost);
  void AddCrashes(const LoadReport& aReport, bool aFromOwnHost);
  void SendAllReports(const HostId& aControlHost);
  void SendRelayedStores(const HostId& aControlHost);
  void AddOrigins(const LoadReport& aReport, bool aFromOwnHost);
  void AddLimitReports(const LoadReport& aReport, bool aFromOwnHost);
  std::vector<TargetLimit> LimitShares() const;
  void PublishLimits();

  const Clock& clock;
  const ServingSettings& settings;
  const ServingGroup& group;
  const StoreWatcher& stores;
  TargetTracker& tracker;
  HostRegistry& hosts;
  CrashRegistry& crashes;
  const WeightAgeTracker& weightAges;
  PeerMesh& mesh;
  Metrics& metrics;
  WorkStatistics& account;
  LoadReportAggregator sends;
  DocumentPublisher document;
  // When totals were last sent to entry hosts.
  MonotonicTime totalsPublishedAt;
  // An urgent report of an own entry host, or of any host, waits to be passed on.
  bool ownUrgentPending = false;
  bool urgentPending = false;
  TargetSubsets subsets;
  // Entry hosts whose reports were not answered with totals yet.
  std::set<HostId> repliesDue;
  // Totals that the hosts of each group were not sent yet.
  GroupTotals pendingTotals;
  // Targets of urgent reports that are not passed on yet.
  std::set<TargetId> urgentTargets;
  // When heartbeats that changed nothing are sent to the other control hosts.
  MonotonicTime nextHeartbeats;
  // The encoded update of the targets of each group for hosts that connect, and what these were
  // made from. They are kept since hundreds of hosts may connect at once.
  std::map<SubsetKey, std::string> groupTargets;
  // Connected entry hosts that still need a snapshot, and when the last snapshots were sent.
  std::set<HostId> pendingSnapshots;
  MonotonicTime snapshotsSentAt;
  ServingUpdate groupTargetsBase;
  std::uint64_t groupTargetsRevision = 0;
  // What was last sent to entry hosts.
  std::uint64_t publishedEntryHosts = 0;
  bool publishedIsolated = false;
  // The changes of the ages of weights that were published, and when they are repeated.
  std::uint64_t publishedWeights = 0;
  MonotonicTime nextWeights;
  EvacuatedZones publishedEvacuated;
  CrashingRequests publishedCrashing;
  MonotonicTime suspectsPublishedAt;
  struct HeldReport
  {
    CrashReport report;
    MonotonicTime since;
  };

  // Reports of own entry hosts that are not sent to the other control hosts yet.
  std::vector<HeldReport> unpublishedCrashes;
  std::vector<SuccessfulRun> unpublishedSuccesses;
  // Start of the registry of entry hosts; see kRegistrySettleTime.
  MonotonicTime startedAt;
  RecentHosts recentHosts;
  RateLimitAllocator limits;
  std::vector<TargetLimit> publishedLimits;
  // Reports of own entry hosts that are not sent to the other control hosts yet.
  std::vector<LimitReport> unpublishedLimits;
  // Of the streams of all entry hosts.
  StreamOriginTable origins;
  // Origins of own entry hosts that are not sent to the other control hosts yet.
  std::vector<StreamOrigin> unpublishedOrigins;
};

} // namespace damasklink
