#include "PictureTeller.h"

#include <utility>

#include "damasklink/protocol/ServingCodec.h"
#include "damasklink/transport/Log.h"

namespace damasklink {
namespace {

// Between two urgent tellings of totals. Reading a prompt that is urgent to tell takes longer or
// about as long, so a word that waits this long is still of use.
constexpr Duration kUrgentPause = std::chrono::milliseconds(10);

// From the start of a control host until it knows the entry hosts of the others. Before that it
// would divide limits among the few that it knows, beside what the other control hosts give to
// theirs.
constexpr Duration kRosterGathers = std::chrono::milliseconds(1000);

bool
HasAnything(const LoadReport& aNews)
{
  return !aNews.sends.empty() || !aNews.excesses.empty() || !aNews.findings.empty() ||
         !aNews.crashes.empty() || !aNews.sound.empty() || !aNews.limitReports.empty() ||
         aNews.limits;
}

} // namespace

PictureTeller::PictureTeller(const Clock& aClock,
                             const ServingSettings& aSettings,
                             const ServingGroup& aGroup,
                             const StoreWatcher& aStores,
                             ControlPicture& aPicture,
                             HostRegistry& aRoster,
                             CrashLedger& aCrashes,
                             PeerMesh& aMesh,
                             WorkStatistics& aAccount)
  : clock(aClock)
  , settings(aSettings)
  , group(aGroup)
  , stores(aStores)
  , picture(aPicture)
  , roster(aRoster)
  , crashes(aCrashes)
  , mesh(aMesh)
  , account(aAccount)
  , startedAt(aClock.MonotonicNow())
{
}

void
PictureTeller::TellChanges()
{
  const WorkTimer timer(this->account, Work::Pictures);
  ServingUpdate changes = this->BarePicture();
  changes.targets = this->picture.TakeChanges();
  changes.entryHosts = this->roster.CountEntryHosts();
  const bool named = this->roster.TakeControlHostsChanged();
  if (named) {
    changes.controlHosts = this->roster.AllControlHosts();
  }
  CrashingRequests crashing = this->crashes.Verdicts();
  const bool crashingChanged = crashing != this->toldCrashing;
  if (crashingChanged) {
    this->toldCrashing = crashing;
    changes.crashing = std::move(crashing);
  }
  const bool standingChanged = named || crashingChanged ||
                               changes.entryHosts != this->toldEntryHosts ||
                               changes.isolated != this->toldIsolated;
  if (standingChanged || !changes.targets.empty()) {
    this->toldEntryHosts = changes.entryHosts;
    this->toldIsolated = changes.isolated;
    this->TellEntryHosts(Work::Pictures, changes);
  }
  if (this->roster.TakeEntryHostsChanged()) {
    this->TellControlHosts(Work::Hosts, this->roster.MakeEntryHostList());
  }
  ServingUpdate news;
  news.targets = this->picture.TakeNews();
  if (!news.targets.empty()) {
    this->TellControlHosts(Work::Pictures, news);
  }
}

// What stands in every picture.
ServingUpdate
PictureTeller::BarePicture() const
{
  ServingUpdate bare;
  bare.documentVersion = this->group.State().Version();
  bare.isolated = !this->group.HearsLeader();
  return bare;
}

ServingUpdate
PictureTeller::BasePicture() const
{
  ServingUpdate base = this->BarePicture();
  base.weights = this->group.State().Weights();
  base.entryHosts = this->roster.CountEntryHosts();
  base.controlHosts = this->roster.AllControlHosts();
  base.crashing = this->toldCrashing;
  base.evacuated = this->group.State().Evacuated().Current();
  return base;
}

// The version alone: whoever does not hold the document asks one of those that announce it. Weights
// go along when they have changed, not with each configuration.
void
PictureTeller::TellStanding()
{
  const WorkTimer timer(this->account, Work::Pictures);
  this->document.Publish(this->group.State().Version(), this->group.State().Document());
  ServingUpdate standing = this->BarePicture();
  if (this->toldWeights != this->group.State().Weights()) {
    this->toldWeights = this->group.State().Weights();
    standing.weights = this->toldWeights;
  }
  EvacuatedZones evacuated = this->group.State().Evacuated().Current();
  if (this->toldEvacuated != evacuated) {
    this->toldEvacuated = std::move(evacuated);
    standing.evacuated = this->toldEvacuated;
  }
  this->TellEntryHosts(Work::Pictures, standing);
}

void
PictureTeller::Answer(const HostId& aEntryHost, const DocumentRequest& aQuestion)
{
  this->document.Publish(this->group.State().Version(), this->group.State().Document());
  if (const std::optional<DocumentChunk> piece = this->document.Answer(aQuestion)) {
    this->Tell(Work::Documents, aEntryHost, *piece);
  }
}

void
PictureTeller::TellStores(const std::vector<StoreUpdate>& aStatements)
{
  const WorkTimer timer(this->account, Work::StoredParts);
  ServingUpdate told = this->BarePicture();
  told.stores = aStatements;
  this->TellTellers(Work::StoredParts, told);
}

void
PictureTeller::GreetControlHost(const HostId& aPeer)
{
  Greeting greeting{ HostRole::Control, this->settings.zone, {} };
  greeting.controlHosts = this->roster.AllControlHosts();
  this->Tell(Work::Hosts, aPeer, greeting);
  // Since what was told on an earlier connection may be lost.
  this->TellAllTargets(aPeer);
  this->Tell(Work::Hosts, aPeer, this->roster.MakeEntryHostList());
  this->TellAllReports(aPeer);
}

void
PictureTeller::TellAllReports(const HostId& aControlHost)
{
  LoadReport news;
  news.host = this->settings.host;
  news.crashes = this->crashes.All();
  news.limitReports = this->limits.All();
  if (HasAnything(news)) {
    this->Tell(Work::Loads, aControlHost, news);
  }
}

void
PictureTeller::TellAll(const HostId& aEntryHost)
{
  // Targets first: a host that knows a configuration takes calls.
  this->TellAllTargets(aEntryHost);
  this->Tell(Work::Pictures, aEntryHost, this->BasePicture());
}

// Heartbeats that said nothing new may be missing in it: the next change makes it anew.
void
PictureTeller::TellAllTargets(const HostId& aHost)
{
  const WorkTimer timer(this->account, Work::Pictures);
  const ServingUpdate base = this->BarePicture();
  const std::uint64_t revision = this->picture.ChangeCount();
  const bool current = base == this->allTargetsBase && revision == this->allTargetsRevision;
  if (!current || this->allTargets.empty()) {
    ServingUpdate all = base;
    all.targets = this->picture.All();
    this->allTargets = EncodePacked(all);
    this->allTargetsBase = base;
    this->allTargetsRevision = revision;
  }
  this->Send(Work::Pictures, aHost, this->allTargets);
}

// An entry host that tells this control host what it has hears of stored parts from it alone: they
// change a thousand times a second, and each further word of it goes between zones.
void
PictureTeller::TellAllStores(const HostId& aEntryHost)
{
  const WorkTimer timer(this->account, Work::StoredParts);
  ServingUpdate told = this->BarePicture();
  told.stores = this->stores.Snapshot();
  this->Tell(Work::StoredParts, aEntryHost, told);
}

void
PictureTeller::TakeSends(const HostId& aFrom, const LoadReport& aNews)
{
  const MonotonicTime now = this->clock.MonotonicNow();
  const bool ofOwnHost = this->roster.EntryHosts().contains(aFrom);
  this->TakeCrashes(aNews, ofOwnHost);
  this->TakeLimits(aNews, ofOwnHost);
  if (!ofOwnHost) {
    this->sends.UpdatePeerSum(aNews, now);
  } else {
    const bool known = this->sends.Publishers().contains(aFrom);
    this->sends.Update(aNews, now);
    if (!known && this->sends.Publishers().contains(aFrom)) {
      this->TellAllStores(aFrom);
      LoadReport totals = this->sends.AllTotals(this->settings.host);
      totals.limits = this->LimitShares();
      this->Tell(Work::Totals, aFrom, totals);
    }
  }
  if (aNews.urgent) {
    this->TakeUrgent(ofOwnHost);
  }
}

void
PictureTeller::TakeCrashes(const LoadReport& aNews, bool aOfOwnHost)
{
  this->crashes.Add(aNews.crashes);
  this->crashes.AddSuccessfulRuns(aNews.sound);
  if (aOfOwnHost) {
    this->untoldCrashes.insert(
      this->untoldCrashes.end(), aNews.crashes.begin(), aNews.crashes.end());
    this->untoldSound.insert(this->untoldSound.end(), aNews.sound.begin(), aNews.sound.end());
  }
}

void
PictureTeller::TakeLimits(const LoadReport& aNews, bool aOfOwnHost)
{
  this->limits.Update(aNews.limitReports);
  if (aOfOwnHost) {
    this->untoldLimits.insert(
      this->untoldLimits.end(), aNews.limitReports.begin(), aNews.limitReports.end());
  }
}

std::vector<TargetLimit>
PictureTeller::LimitShares() const
{
  const bool gathers = this->clock.MonotonicNow() - this->startedAt < kRosterGathers;
  return this->limits.Shares(gathers ? std::set<HostId>() : this->recentHosts.All());
}

// Tells the shares of all limits where any has changed: limits, targets or entry hosts.
void
PictureTeller::TellLimits()
{
  const MonotonicTime now = this->clock.MonotonicNow();
  this->recentHosts.Update(this->roster.AllEntryHosts(), now);
  for (const ColdTarget& cold : this->picture.TakeCold()) {
    this->limits.UpdateColdTarget(cold, now);
  }
  this->limits.RemoveWarmTargets(now);
  if (this->limits.IsEmpty() && this->toldLimits.empty()) {
    return;
  }
  this->limits.KeepOnly([this](const TargetId& aTarget, Incarnation aIncarnation) {
    const TargetRecord* record = this->picture.Registry().Find(aTarget);
    return record != nullptr && !record->leaving && record->incarnation <= aIncarnation;
  });
  std::vector<TargetLimit> shares = this->LimitShares();
  if (shares == this->toldLimits) {
    return;
  }
  this->toldLimits = std::move(shares);
  for (const TargetLimit& limit : this->toldLimits) {
    LogEvent(LogLevel::Info, "target_limit_shared")
      .With("target", limit.target)
      .With("incarnation", limit.incarnation)
      .With("limit_per_second", limit.limit.value_or(RequestRate()).perSecond)
      .With("cold_ms", WholeMilliseconds(limit.coldFor))
      .With("hosts", limit.hosts.size())
      .With("share_per_second", limit.share.perSecond);
  }
  LoadReport news;
  news.host = this->settings.host;
  news.limits = this->toldLimits;
  const std::string payload = EncodePacked(news);
  for (const HostId& host : this->sends.Publishers()) {
    this->Send(Work::Totals, host, payload);
  }
}

// Tells at once, unless entry hosts were told just now: with hundreds of them, one sends a long
// prompt every few milliseconds, and each telling goes to all.
void
PictureTeller::TakeUrgent(bool aOfOwnHosts)
{
  this->urgentWaits = true;
  this->ownUrgentWaits = this->ownUrgentWaits || aOfOwnHosts;
  if (this->clock.MonotonicNow() - this->toldTotals < kUrgentPause) {
    return;
  }
  if (this->ownUrgentWaits) {
    this->TellSends();
  } else {
    this->TellTotals();
  }
}

void
PictureTeller::TellSends()
{
  const WorkTimer timer(this->account, Work::Loads);
  this->sends.RemovePeersSilentSince(this->clock.MonotonicNow() - SendsSum::kSilenceLimit);
  LoadReport own = this->sends.TakeChanges(this->settings.host);
  own.urgent = std::exchange(this->ownUrgentWaits, false);
  own.crashes = std::exchange(this->untoldCrashes, {});
  own.sound = std::exchange(this->untoldSound, {});
  own.limitReports = std::exchange(this->untoldLimits, {});
  if (HasAnything(own)) {
    this->TellControlHosts(Work::Loads, own);
  }
  this->TellLimits();
  this->TellTotals();
}

void
PictureTeller::TellTotals()
{
  const WorkTimer timer(this->account, Work::Totals);
  this->urgentWaits = this->ownUrgentWaits;
  this->toldTotals = this->clock.MonotonicNow();
  const LoadReport totals = this->sends.TakeTotals(this->settings.host);
  if (HasAnything(totals)) {
    this->TellTellers(Work::Totals, totals);
  }
}

void
PictureTeller::Tell(Work aWork, const HostId& aTo, const ServingMessage& aMessage)
{
  this->Send(aWork, aTo, EncodeServingMessage(aMessage));
}

// Many hosts get the same bytes, in this and the next two: they are encoded once.
void
PictureTeller::TellEntryHosts(Work aWork, const ServingMessage& aMessage)
{
  const std::string payload = EncodePacked(aMessage);
  for (const HostId& host : this->roster.EntryHosts()) {
    this->Send(aWork, host, payload);
  }
}

void
PictureTeller::TellControlHosts(Work aWork, const ServingMessage& aMessage)
{
  const std::string payload = EncodePacked(aMessage);
  for (const auto& [host, zone] : this->roster.ControlHosts()) {
    this->Send(aWork, host, payload);
  }
}

void
PictureTeller::TellTellers(Work aWork, const ServingMessage& aMessage)
{
  const std::string payload = EncodeServingMessage(aMessage);
  for (const HostId& host : this->sends.Publishers()) {
    this->Send(aWork, host, payload);
  }
}

void
PictureTeller::Send(Work aWork, const HostId& aTo, std::string aPayload)
{
  this->account.CountSent(aWork, aPayload.size());
  this->mesh.Send(aTo, PeerMessage{ Channel::Serving, GroupId(), std::move(aPayload) });
}

} // namespace damasklink
