#include "ServingUpdatePublisher.h"

#include <algorithm>
#include <utility>

#include "damasklink/coordination/TargetSelector.h"
#include "damasklink/protocol/ServingCodec.h"
#include "damasklink/transport/Log.h"

namespace damasklink {
namespace {

// Minimum interval between two urgent publications of totals. The prefill of a prompt that is
// reported as urgent takes about as long or longer, so a report delayed by this is still useful.
constexpr Duration kMinUrgentInterval = std::chrono::milliseconds(10);

// Time from the start of a control host until it knows the entry hosts of the other control hosts.
// Earlier it would divide rate limits among the few hosts that it knows, in addition to the shares
// that the other control hosts give to theirs.
constexpr Duration kRegistrySettleTime = std::chrono::milliseconds(1000);

// Minimum interval between two encodings of all targets. With thousands of targets one takes tens
// of milliseconds, and targets change all the time while they start: if each of hundreds of hosts
// that connect after a fault cost one, they would hear nothing in time, give up and connect again.
constexpr Duration kMinSnapshotInterval = std::chrono::milliseconds(100);

// Minimum interval between two publications of suspects alone. While targets crash they change all
// the time.
constexpr Duration kMinSuspectInterval = std::chrono::milliseconds(200);

// Interval at which control hosts tell each other of heartbeats that changed nothing. Sent together
// they are compressed, and cost one message for hundreds. The limit of silence of a target is
// several times longer.
constexpr Duration kHeartbeatRelayInterval = std::chrono::seconds(1);

bool
HasAnything(const LoadReport& aReport)
{
  return !aReport.sends.empty() || !aReport.excesses.empty() || !aReport.findings.empty() ||
         !aReport.crashes.empty() || !aReport.sound.empty() || !aReport.limitReports.empty() ||
         !aReport.brittle.empty() || !aReport.origins.empty() || aReport.limits;
}

} // namespace

ServingUpdatePublisher::ServingUpdatePublisher(const Clock& aClock,
                                               const ServingSettings& aSettings,
                                               const ServingGroup& aGroup,
                                               const StoreWatcher& aStores,
                                               TargetTracker& aTracker,
                                               HostRegistry& aHosts,
                                               CrashRegistry& aCrashes,
                                               const WeightAgeTracker& aWeightAges,
                                               PeerMesh& aMesh,
                                               Metrics& aMetrics,
                                               WorkStatistics& aAccount)
  : clock(aClock)
  , settings(aSettings)
  , group(aGroup)
  , stores(aStores)
  , tracker(aTracker)
  , hosts(aHosts)
  , crashes(aCrashes)
  , weightAges(aWeightAges)
  , mesh(aMesh)
  , metrics(aMetrics)
  , account(aAccount)
  , startedAt(aClock.MonotonicNow())
  , origins(aClock)
{
}

void
ServingUpdatePublisher::PublishChanges()
{
  this->SendPendingSnapshots();
  const WorkTimer timer(this->account, Work::Pictures);
  ServingUpdate changes = this->MakeBaseUpdate();
  changes.targets = this->tracker.TakeChanges();
  changes.entryHosts = this->hosts.CountEntryHosts();
  const SubsetChange subsetChange = this->subsets.Update(this->tracker.TargetCounts());
  if (subsetChange != SubsetChange::None) {
    this->PublishSubsets(subsetChange);
  }
  const bool controlHostsChanged = this->hosts.TakeControlHostsChanged();
  if (controlHostsChanged) {
    changes.controlHosts = this->hosts.AllControlHosts();
  }
  CrashingRequests crashing = this->crashes.Verdicts();
  const bool crashingChanged =
    crashing.refused != this->publishedCrashing.refused ||
    (crashing.suspected != this->publishedCrashing.suspected &&
     this->clock.MonotonicNow() - this->suspectsPublishedAt >= kMinSuspectInterval);
  if (crashingChanged) {
    this->suspectsPublishedAt = this->clock.MonotonicNow();
    this->publishedCrashing = crashing;
    changes.crashing = std::move(crashing);
  }
  const bool stateChanged = controlHostsChanged || crashingChanged ||
                            changes.entryHosts != this->publishedEntryHosts ||
                            changes.isolated != this->publishedIsolated;
  if (stateChanged || !changes.targets.empty()) {
    this->publishedEntryHosts = changes.entryHosts;
    this->publishedIsolated = changes.isolated;
    this->SendTargetChanges(changes, stateChanged);
  }
  this->hosts.RemoveExpiredCutOffs(this->clock.MonotonicNow());
  if (this->hosts.TakeEntryHostsChanged()) {
    this->SendToControlHosts(Work::Hosts, this->hosts.MakeEntryHostList());
  }
  this->PublishHeartbeats();
}

// Sends heartbeats to the other control hosts: at once where they changed something.
void
ServingUpdatePublisher::PublishHeartbeats()
{
  const MonotonicTime now = this->clock.MonotonicNow();
  const bool all = now >= this->nextHeartbeats;
  if (all) {
    this->nextHeartbeats = now + kHeartbeatRelayInterval;
  }
  ServingUpdate direct;
  direct.targets =
    all ? this->tracker.TakeDirectUpdates() : this->tracker.TakeChangedDirectUpdates();
  if (!direct.targets.empty()) {
    this->SendToControlHosts(Work::Pictures, direct);
  }
}

// Sends entry hosts the new numbers of subsets before any targets that are selected by these. After
// subsets were joined, it sends the targets that hosts lack.
void
ServingUpdatePublisher::PublishSubsets(SubsetChange aChange)
{
  for (const auto& [service, count] : this->subsets.Counts()) {
    LogEvent(LogLevel::Info, "target_subsets")
      .With("service", service)
      .With("targets", this->tracker.TargetCounts().at(service))
      .With("subsets", count);
  }
  this->groupTargets.clear();
  ServingUpdate update = this->MakeBaseUpdate();
  update.subsets = this->subsets.Counts();
  this->SendToEntryHosts(Work::Pictures, update);
  if (aChange == SubsetChange::Joined) {
    for (const auto& [group, hosts] : this->GroupsOf(this->hosts.EntryHosts())) {
      this->SendTargetsOfGroup(group, hosts);
    }
  }
  // Hosts drop the totals that they have, since they get no more changes of some of these.
  for (const HostId& host : this->sends.Publishers()) {
    this->SendAllTotals(host);
  }
}

// Sends each entry host the changes of the targets that it uses.
void
ServingUpdatePublisher::SendTargetChanges(const ServingUpdate& aChanges, bool aStateChanged)
{
  for (const auto& [group, hosts] : this->GroupsOf(this->hosts.EntryHosts())) {
    ServingUpdate changes = aChanges;
    std::erase_if(changes.targets, [&, group = group](const TargetUpdate& aUpdate) {
      const TargetRecord& record = aUpdate.record;
      return !this->subsets.Contains(group, record.service, SubsetKeyOf(record.id));
    });
    if (aStateChanged || !changes.targets.empty()) {
      this->SendToHosts(Work::Pictures, hosts, EncodeCompressed(changes));
    }
  }
}

ServingUpdatePublisher::HostGroups
ServingUpdatePublisher::GroupsOf(const std::set<HostId>& aEntryHosts) const
{
  HostGroups groups;
  for (const HostId& host : aEntryHosts) {
    groups[this->subsets.GroupOf(SubsetKeyOf(host))].push_back(host);
  }
  return groups;
}

// Makes an update with the fields that every update for entry hosts has.
ServingUpdate
ServingUpdatePublisher::MakeBaseUpdate() const
{
  ServingUpdate update;
  update.documentVersion = this->group.State().Version();
  update.isolated = !this->group.HasRecentLeader();
  return update;
}

ServingUpdate
ServingUpdatePublisher::MakeStateUpdate() const
{
  ServingUpdate update = this->MakeBaseUpdate();
  update.weights = this->weightAges.Ages().All();
  update.entryHosts = this->hosts.CountEntryHosts();
  update.controlHosts = this->hosts.AllControlHosts();
  update.crashing = this->publishedCrashing;
  update.evacuated = this->group.State().Evacuated().Current();
  update.subsets = this->subsets.Counts();
  return update;
}

// Sends the version of the document only: a host that does not have the document requests it from
// one of the hosts that announced the version.
void
ServingUpdatePublisher::PublishGroupState()
{
  this->SendPendingSnapshots();
  const WorkTimer timer(this->account, Work::Pictures);
  this->document.Publish(this->group.State().Version(), this->group.State().Document());
  ServingUpdate update = this->MakeBaseUpdate();
  EvacuatedZones evacuated = this->group.State().Evacuated().Current();
  if (this->publishedEvacuated != evacuated) {
    this->publishedEvacuated = std::move(evacuated);
    update.evacuated = this->publishedEvacuated;
  }
  this->SendToEntryHosts(Work::Pictures, update);
}

void
ServingUpdatePublisher::PublishWeights()
{
  const WeightVersionAges& ages = this->weightAges.Ages();
  const MonotonicTime now = this->clock.MonotonicNow();
  const bool changed = this->publishedWeights != this->weightAges.Changes();
  if (!changed && (now < this->nextWeights || !ages.HasRecent())) {
    return;
  }
  this->SendPendingSnapshots();
  const WorkTimer timer(this->account, Work::Pictures);
  this->publishedWeights = this->weightAges.Changes();
  this->nextWeights = now + WeightAgeTracker::kRepeatInterval;
  ServingUpdate update = this->MakeBaseUpdate();
  update.weights = ages.All();
  this->SendToEntryHosts(Work::Pictures, update);
  this->SendToControlHosts(Work::Pictures, update);
}

void
ServingUpdatePublisher::Answer(const HostId& aEntryHost, const DocumentRequest& aRequest)
{
  this->document.Publish(this->group.State().Version(), this->group.State().Document());
  if (const std::optional<DocumentChunk> chunk = this->document.Answer(aRequest)) {
    this->EncodeAndSend(Work::Documents, aEntryHost, *chunk);
  }
}

void
ServingUpdatePublisher::Answer(const HostId& aEntryHost, const StreamOriginRequest& aRequest)
{
  StreamOriginResponse response;
  response.number = aRequest.number;
  if (aRequest.stream) {
    response.origin = this->origins.Find(*aRequest.stream);
  }
  // The request may be the first event after the host stood still.
  SoftwareVersionHistory& history = this->tracker.Versions();
  history.OnStep();
  response.versions = history.Versions(aRequest.service);
  response.complete = history.IsComplete();
  const auto& committed = this->group.State().Software();
  if (const auto found = committed.find(aRequest.service); found != committed.end()) {
    response.versions.insert(found->second.begin(), found->second.end());
    const bool current = this->group.HasRecentLeader() && !history.HasJustStoodStill();
    response.complete = response.complete || current;
  }
  this->EncodeAndSend(Work::Origins, aEntryHost, response);
}

void
ServingUpdatePublisher::SendForwardingHosts(const HostId& aEntryHost)
{
  this->EncodeAndSend(
    Work::Hosts, aEntryHost, ForwardingHosts{ this->hosts.ForwardingHostsFor(aEntryHost) });
}

void
ServingUpdatePublisher::PublishStores(const std::vector<StoreUpdate>& aUpdates)
{
  const WorkTimer timer(this->account, Work::StoredParts);
  ServingUpdate update = this->MakeBaseUpdate();
  update.stores = aUpdates;
  this->SendToReportingHosts(Work::StoredParts, update);
}

void
ServingUpdatePublisher::RelayStores(const std::vector<StoreUpdate>& aUpdates)
{
  const WorkTimer timer(this->account, Work::StoredParts);
  ServingUpdate update = this->MakeBaseUpdate();
  update.stores = aUpdates;
  this->SendToControlHosts(Work::StoredParts, update);
}

void
ServingUpdatePublisher::SendGreeting(const HostId& aPeer)
{
  Greeting greeting{ HostRole::Control, this->settings.zone, {} };
  greeting.controlHosts = this->hosts.AllControlHosts();
  this->EncodeAndSend(Work::Hosts, aPeer, greeting);
  // Everything is sent again, since messages on an earlier connection may have been lost.
  this->SendAllTargets(aPeer);
  this->EncodeAndSend(Work::Hosts, aPeer, this->hosts.MakeEntryHostList());
  this->SendRelayedStores(aPeer);
  this->SendAllReports(aPeer);
}

void
ServingUpdatePublisher::SendRelayedStores(const HostId& aControlHost)
{
  ServingUpdate update = this->MakeBaseUpdate();
  update.stores = this->stores.RelaySnapshot();
  if (!update.stores.empty()) {
    this->Send(Work::StoredParts, aControlHost, EncodeCompressed(update));
  }
}

void
ServingUpdatePublisher::SendAllReports(const HostId& aControlHost)
{
  LoadReport report;
  report.host = this->settings.host;
  report.crashes = this->crashes.All();
  report.limitReports = this->limits.All();
  report.origins = this->origins.All();
  if (HasAnything(report)) {
    this->Send(Work::Loads, aControlHost, EncodeCompressed(report));
  }
}

void
ServingUpdatePublisher::SendSnapshot(const HostId& aEntryHost)
{
  this->pendingSnapshots.insert(aEntryHost);
  if (this->clock.MonotonicNow() - this->snapshotsSentAt >= kMinSnapshotInterval) {
    this->SendPendingSnapshots();
  }
}

// Must be called before anything else is sent to all entry hosts: a host that has not got all
// targets would take the first update for everything that this control host knows.
void
ServingUpdatePublisher::SendPendingSnapshots()
{
  if (this->pendingSnapshots.empty()) {
    return;
  }
  const WorkTimer timer(this->account, Work::Snapshots);
  const std::string state = EncodeServingMessage(this->MakeStateUpdate());
  for (const auto& [group, hosts] : this->GroupsOf(std::exchange(this->pendingSnapshots, {}))) {
    // Targets go first: an entry host accepts calls as soon as it has a configuration.
    this->SendTargetsOfGroup(group, hosts);
    this->SendToHosts(Work::Pictures, hosts, state);
  }
  this->snapshotsSentAt = this->clock.MonotonicNow();
}

void
ServingUpdatePublisher::OnLost(const HostId& aHost)
{
  this->pendingSnapshots.erase(aHost);
  this->repliesDue.erase(aHost);
  this->sends.Remove(aHost);
}

void
ServingUpdatePublisher::SendAllTargets(const HostId& aControlHost)
{
  const WorkTimer timer(this->account, Work::Snapshots);
  ServingUpdate all = this->MakeBaseUpdate();
  all.weights = this->weightAges.Ages().All();
  all.targets = this->tracker.AllOf([](const TargetRecord&) { return true; });
  this->Send(Work::Snapshots, aControlHost, EncodeCompressed(all));
}

// The cached message may lack heartbeats that changed nothing; it is made again after the next
// change.
void
ServingUpdatePublisher::SendTargetsOfGroup(SubsetKey aGroup, const std::vector<HostId>& aEntryHosts)
{
  const WorkTimer timer(this->account, Work::Snapshots);
  const ServingUpdate base = this->MakeBaseUpdate();
  const std::uint64_t revision = this->tracker.ChangeCount();
  if (base != this->groupTargetsBase || revision != this->groupTargetsRevision) {
    this->groupTargets.clear();
    this->groupTargetsBase = base;
    this->groupTargetsRevision = revision;
  }
  std::string& encoded = this->groupTargets[aGroup];
  if (encoded.empty()) {
    ServingUpdate all = base;
    all.targets = this->tracker.AllOf([&](const TargetRecord& aRecord) {
      return this->subsets.Contains(aGroup, aRecord.service, SubsetKeyOf(aRecord.id));
    });
    encoded = EncodeCompressed(all);
    this->metrics.Add(Counter::SnapshotsEncoded, MetricKey{}, 1);
  }
  this->SendToHosts(Work::Snapshots, aEntryHosts, encoded);
}

// An entry host gets stored parts only from the control host to which it reports: they change a
// thousand times a second, and every further copy would be sent between zones.
void
ServingUpdatePublisher::SendAllStores(const HostId& aEntryHost)
{
  const WorkTimer timer(this->account, Work::StoredParts);
  ServingUpdate update = this->MakeBaseUpdate();
  update.stores = this->stores.Snapshot();
  this->EncodeAndSend(Work::StoredParts, aEntryHost, update);
}

void
ServingUpdatePublisher::OnLoadReport(const HostId& aFrom, const LoadReport& aReport)
{
  const MonotonicTime now = this->clock.MonotonicNow();
  const bool fromOwnHost = this->hosts.EntryHosts().contains(aFrom);
  this->AddCrashes(aReport, fromOwnHost);
  this->AddLimitReports(aReport, fromOwnHost);
  this->AddOrigins(aReport, fromOwnHost);
  if (!fromOwnHost) {
    this->sends.UpdatePeerSum(aReport, now);
  } else {
    const bool known = this->sends.Publishers().contains(aFrom);
    this->sends.Update(aReport, now);
    if (!known && this->sends.Publishers().contains(aFrom)) {
      this->SendAllStores(aFrom);
      this->SendAllTotals(aFrom);
    } else if (!aReport.sends.empty()) {
      this->repliesDue.insert(aFrom);
    }
  }
  if (aReport.urgent) {
    this->OnUrgentReport(aReport, fromOwnHost);
  }
}

void
ServingUpdatePublisher::SendAllTotals(const HostId& aEntryHost)
{
  const SubsetKey group = this->subsets.GroupOf(SubsetKeyOf(aEntryHost));
  GroupTotals divided;
  divided[group].host = this->settings.host;
  this->DivideTotals(this->sends.AllTotals(this->settings.host), divided);
  LoadReport& totals = divided[group];
  totals.limits = this->LimitShares();
  this->EncodeAndSend(Work::Totals, aEntryHost, totals);
}

// Returns 1 if the service of the target is not known: any host might use it.
std::uint32_t
ServingUpdatePublisher::SubsetCountOfTarget(const TargetId& aTarget) const
{
  const TargetRecord* record = this->tracker.Registry().Find(aTarget);
  return record == nullptr ? 1 : SubsetCountOf(this->subsets.Counts(), record->service);
}

// Adds to the totals of each group of hosts those of the targets that it uses.
void
ServingUpdatePublisher::DivideTotals(const LoadReport& aTotals, GroupTotals& aTo) const
{
  for (auto& [group, report] : aTo) {
    report.excesses.insert(report.excesses.end(), aTotals.excesses.begin(), aTotals.excesses.end());
    report.brittle.insert(report.brittle.end(), aTotals.brittle.begin(), aTotals.brittle.end());
  }
  const auto divide = [&](const auto& aEntries, auto aMember) {
    for (const auto& entry : aEntries) {
      const std::uint32_t count = this->SubsetCountOfTarget(entry.target);
      const SubsetKey key = SubsetKeyOf(entry.target);
      for (auto& [group, report] : aTo) {
        if (IsInSubset(count, group, key)) {
          (report.*aMember).push_back(entry);
        }
      }
    }
  };
  divide(aTotals.sends, &LoadReport::sends);
  divide(aTotals.findings, &LoadReport::findings);
}

void
ServingUpdatePublisher::AddCrashes(const LoadReport& aReport, bool aFromOwnHost)
{
  this->crashes.Add(aReport.crashes);
  this->crashes.AddSuccessfulRuns(aReport.sound);
  if (aFromOwnHost) {
    for (const CrashReport& crash : aReport.crashes) {
      this->unpublishedCrashes.push_back(HeldReport{ crash, this->clock.MonotonicNow() });
    }
    this->unpublishedSuccesses.insert(
      this->unpublishedSuccesses.end(), aReport.sound.begin(), aReport.sound.end());
  }
}

void
ServingUpdatePublisher::AddLimitReports(const LoadReport& aReport, bool aFromOwnHost)
{
  this->limits.Update(aReport.limitReports);
  if (aFromOwnHost) {
    this->unpublishedLimits.insert(
      this->unpublishedLimits.end(), aReport.limitReports.begin(), aReport.limitReports.end());
  }
}

void
ServingUpdatePublisher::AddOrigins(const LoadReport& aReport, bool aFromOwnHost)
{
  for (const StreamOrigin& origin : aReport.origins) {
    this->origins.Add(origin);
  }
  if (aFromOwnHost) {
    this->unpublishedOrigins.insert(
      this->unpublishedOrigins.end(), aReport.origins.begin(), aReport.origins.end());
  }
}

std::vector<TargetLimit>
ServingUpdatePublisher::LimitShares() const
{
  const bool settling = this->clock.MonotonicNow() - this->startedAt < kRegistrySettleTime;
  return this->limits.Shares(
    settling ? std::set<HostId>() : this->recentHosts.All(),
    [this](const TargetId& aTarget) { return this->SubsetCountOfTarget(aTarget); });
}

// Sends the shares of all rate limits if any has changed because of limits, targets or entry hosts.
void
ServingUpdatePublisher::PublishLimits()
{
  const MonotonicTime now = this->clock.MonotonicNow();
  this->recentHosts.Update(this->hosts.AllEntryHosts(), now);
  for (const ColdTarget& cold : this->tracker.TakeColdTargets()) {
    this->limits.UpdateColdTarget(cold, now);
  }
  this->limits.RemoveWarmTargets(now);
  if (this->limits.IsEmpty() && this->publishedLimits.empty()) {
    return;
  }
  this->limits.KeepOnly([this](const TargetId& aTarget, Incarnation aIncarnation) {
    const TargetRecord* record = this->tracker.Registry().Find(aTarget);
    return record != nullptr && !record->leaving && record->incarnation <= aIncarnation;
  });
  std::vector<TargetLimit> shares = this->LimitShares();
  if (shares == this->publishedLimits) {
    return;
  }
  this->publishedLimits = std::move(shares);
  for (const TargetLimit& limit : this->publishedLimits) {
    LogEvent(LogLevel::Info, "target_limit_shared")
      .With("target", limit.target)
      .With("incarnation", limit.incarnation)
      .With("limit_per_second", limit.limit.value_or(RequestRate()).perSecond)
      .With("cold_ms", WholeMilliseconds(limit.coldFor))
      .With("hosts", limit.hosts.size())
      .With("share_per_second", limit.share.perSecond);
  }
  LoadReport report;
  report.host = this->settings.host;
  report.limits = this->publishedLimits;
  const std::string payload = EncodeCompressed(report);
  for (const HostId& host : this->sends.Publishers()) {
    this->Send(Work::Totals, host, payload);
  }
}

// Publishes at once, unless entry hosts were sent totals within kMinUrgentInterval: with hundreds
// of them, one sends a long prompt every few milliseconds.
void
ServingUpdatePublisher::OnUrgentReport(const LoadReport& aReport, bool aFromOwnHost)
{
  this->urgentPending = true;
  this->ownUrgentPending = this->ownUrgentPending || aFromOwnHost;
  for (const InFlightLoad& load : aReport.sends) {
    if (load.unread.Value() >= TargetSelector::kLongPrefill) {
      this->urgentTargets.insert(load.target);
    }
  }
  if (this->clock.MonotonicNow() - this->totalsPublishedAt < kMinUrgentInterval) {
    return;
  }
  if (this->ownUrgentPending) {
    this->PublishSums();
  }
  this->PublishTotals(TotalsScope::Urgent);
}

void
ServingUpdatePublisher::PublishLoads()
{
  this->sends.RemovePeersSilentSince(this->clock.MonotonicNow() - InFlightLoadSum::kSilenceLimit);
  this->PublishSums();
  this->PublishLimits();
  this->PublishTotals(TotalsScope::All);
}

// Sends the sums over this host's entry hosts to the other control hosts.
void
ServingUpdatePublisher::PublishSums()
{
  const WorkTimer timer(this->account, Work::Loads);
  LoadReport own = this->sends.TakeChanges(this->settings.host);
  own.urgent = std::exchange(this->ownUrgentPending, false);
  for (const HeldReport& held : std::exchange(this->unpublishedCrashes, {})) {
    own.crashes.push_back(held.report.Aged(this->clock.MonotonicNow() - held.since));
  }
  own.sound = std::exchange(this->unpublishedSuccesses, {});
  own.limitReports = std::exchange(this->unpublishedLimits, {});
  own.origins = std::exchange(this->unpublishedOrigins, {});
  if (HasAnything(own)) {
    this->SendToControlHosts(Work::Loads, own);
  }
}

// Sends the totals to the entry hosts that report to this one: to all, or only to those that use a
// target to which a long prompt was sent. The others get theirs with the next call.
void
ServingUpdatePublisher::PublishTotals(TotalsScope aScope)
{
  const WorkTimer timer(this->account, Work::Totals);
  this->urgentPending = this->ownUrgentPending;
  this->totalsPublishedAt = this->clock.MonotonicNow();
  const HostGroups groups = this->GroupsOf(this->sends.Publishers());
  for (const auto& [group, hosts] : groups) {
    this->pendingTotals[group].host = this->settings.host;
  }
  this->DivideTotals(this->sends.TakeTotals(this->settings.host), this->pendingTotals);
  for (const auto& [group, hosts] : groups) {
    if (aScope == TotalsScope::All || this->IsUrgentFor(group)) {
      this->SendPendingTotals(group, hosts);
    }
  }
  std::erase_if(this->pendingTotals,
                [&](const auto& aItem) { return !groups.contains(aItem.first); });
  this->urgentTargets.clear();
}

void
ServingUpdatePublisher::SendPendingTotals(SubsetKey aGroup, const std::vector<HostId>& aEntryHosts)
{
  LoadReport totals;
  totals.host = this->settings.host;
  std::swap(totals, this->pendingTotals[aGroup]);
  const bool hasTotals = HasAnything(totals);
  const std::string payload = EncodeServingMessage(totals);
  for (const HostId& host : aEntryHosts) {
    // A host takes totals as the reply to its report, even if they contain nothing for it.
    const bool isDue = this->repliesDue.erase(host) > 0;
    if (hasTotals || isDue) {
      this->Send(Work::Totals, host, payload);
    }
  }
}

bool
ServingUpdatePublisher::IsUrgentFor(SubsetKey aGroup) const
{
  return std::any_of(
    this->urgentTargets.begin(), this->urgentTargets.end(), [&](const TargetId& aTarget) {
      return IsInSubset(this->SubsetCountOfTarget(aTarget), aGroup, SubsetKeyOf(aTarget));
    });
}

void
ServingUpdatePublisher::EncodeAndSend(Work aWork, const HostId& aTo, const ServingMessage& aMessage)
{
  this->Send(aWork, aTo, EncodeServingMessage(aMessage));
}

// This function and the next two encode a message once, since many hosts get the same bytes.
void
ServingUpdatePublisher::SendToEntryHosts(Work aWork, const ServingMessage& aMessage)
{
  const std::string payload = EncodeCompressed(aMessage);
  for (const HostId& host : this->hosts.EntryHosts()) {
    this->Send(aWork, host, payload);
  }
}

void
ServingUpdatePublisher::SendToHosts(Work aWork,
                                    const std::vector<HostId>& aHosts,
                                    const std::string& aPayload)
{
  for (const HostId& host : aHosts) {
    this->Send(aWork, host, aPayload);
  }
}

void
ServingUpdatePublisher::SendToControlHosts(Work aWork, const ServingMessage& aMessage)
{
  const std::string payload = EncodeCompressed(aMessage);
  for (const auto& [host, zone] : this->hosts.ControlHosts()) {
    this->Send(aWork, host, payload);
  }
}

void
ServingUpdatePublisher::SendToReportingHosts(Work aWork, const ServingMessage& aMessage)
{
  const std::string payload = EncodeServingMessage(aMessage);
  for (const HostId& host : this->sends.Publishers()) {
    this->Send(aWork, host, payload);
  }
}

void
ServingUpdatePublisher::Send(Work aWork, const HostId& aTo, std::string aPayload)
{
  this->account.CountSent(aWork, aPayload.size());
  this->mesh.Send(aTo, PeerMessage{ Channel::Serving, GroupId(), std::move(aPayload) });
}

} // namespace damasklink
