#include "EntryHostState.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "damasklink/state/Units.h"
#include "damasklink/transport/Log.h"

namespace damasklink {

Result<RoutesPtr>
ReadRoutes(const ControlDialect& aDialect, std::string_view aDocument)
{
  auto config = aDialect.ReadConfig(aDocument);
  if (!config) {
    return Fail(config.error());
  }
  return std::make_shared<const RouteTable>(
    std::make_shared<const ServingConfig>(std::move(config.value())));
}

void
EntryHostState::Apply(const HostId& aFrom, const ServingUpdate& aUpdate)
{
  this->KeepHealthyTime();
  if (this->connected.contains(aFrom) && this->reported.insert(aFrom).second) {
    this->targets.OnLink(aFrom, true);
  }
  this->ApplyWeights(aFrom, aUpdate.weights);
  if (!aUpdate.subsets.empty()) {
    this->targets.SetSubsets(aFrom, aUpdate.subsets);
    LogEvent(LogLevel::Info, "target_subsets_told")
      .With("services", aUpdate.subsets.size())
      .With("from", aFrom);
  }
  for (const TargetUpdate& target : aUpdate.targets) {
    this->targets.Take(aFrom, target);
    LogEvent(LogLevel::Debug, "target_updated")
      .With("target", target.record.id)
      .With("standing", static_cast<int>(target.standing))
      .With("sequence", target.record.sequence)
      .With("from", aFrom);
  }
  if (aUpdate.evacuated) {
    this->ApplyEvacuations(aFrom, *aUpdate.evacuated);
  }
  if (aFrom == this->hub) {
    for (const StoreUpdate& store : aUpdate.stores) {
      this->stored.Apply(store);
    }
  }
  if (aUpdate.entryHosts > 0) {
    this->entryHosts[aFrom] = aUpdate.entryHosts;
  }
  if (aUpdate.isolated) {
    this->isolated.insert(aFrom);
  } else {
    this->isolated.erase(aFrom);
  }
  this->discoveredControlHosts.insert(aUpdate.controlHosts.begin(), aUpdate.controlHosts.end());
}

void
EntryHostState::ApplyWeights(const HostId& aFrom, const std::vector<AnnouncedWeights>& aAnnounced)
{
  for (const AnnouncedWeights& announced : aAnnounced) {
    if (this->weights.Take(announced)) {
      LogEvent(LogLevel::Info, "weights_named")
        .With("model", announced.model)
        .With("version", announced.version)
        .With("age_known", announced.age.has_value())
        .With("age_ms", WholeMilliseconds(announced.age.value_or(Duration::zero())))
        .With("from", aFrom);
    }
  }
}

void
EntryHostState::ApplyEvacuations(const HostId& aFrom, const EvacuatedZones& aEvacuations)
{
  if (aEvacuations.revision <= this->evacuationRevision) {
    return;
  }
  this->evacuationRevision = aEvacuations.revision;
  const std::set<ZoneId>& before = this->targets.Evacuated();
  std::set_difference(aEvacuations.zones.begin(),
                      aEvacuations.zones.end(),
                      before.begin(),
                      before.end(),
                      std::inserter(this->pendingEvacuated, this->pendingEvacuated.end()));
  std::set_difference(before.begin(),
                      before.end(),
                      aEvacuations.zones.begin(),
                      aEvacuations.zones.end(),
                      std::inserter(this->pendingReturned, this->pendingReturned.end()));
  this->targets.SetEvacuated(aEvacuations.zones);
  LogEvent(LogLevel::Info, "evacuations_told")
    .With("revision", aEvacuations.revision)
    .With("zones", aEvacuations.zones.size())
    .With("from", aFrom);
}

void
EntryHostState::InstallRoutes(RoutesPtr aRoutes)
{
  const Revision installed = this->routes == nullptr ? Revision() : this->routes->Config().version;
  const Revision version = aRoutes->Config().version;
  if (version <= installed) {
    return;
  }
  this->routes = std::move(aRoutes);
  this->stored.SetStores(this->routes->Config().services);
  LogEvent(LogLevel::Info, "configuration_in_force")
    .With("version", version)
    .With("before", installed)
    .With("routes", this->routes->Config().routes.size());
}

void
EntryHostState::OnConnection(const HostId& aHost, bool aUp)
{
  if (aUp) {
    this->connected.insert(aHost);
    return;
  }
  this->KeepHealthyTime();
  this->targets.OnLink(aHost, false);
  this->connected.erase(aHost);
  this->reported.erase(aHost);
  this->isolated.erase(aHost);
  this->entryHosts.erase(aHost);
  if (this->hub == aHost) {
    this->SelectStoreSource(std::nullopt);
  }
}

bool
EntryHostState::IsHealthy(const HostId& aHost) const
{
  return this->reported.contains(aHost) && !this->isolated.contains(aHost);
}

bool
EntryHostState::HasHealthyControlHost() const
{
  return std::any_of(this->reported.begin(), this->reported.end(), [this](const HostId& aHost) {
    return this->IsHealthy(aHost);
  });
}

bool
EntryHostState::HadHealthyControlHost(Duration aTime) const
{
  return this->HasHealthyControlHost() || this->clock.MonotonicNow() - this->healthyAt < aTime;
}

void
EntryHostState::KeepHealthyTime()
{
  if (this->HasHealthyControlHost()) {
    this->healthyAt = this->clock.MonotonicNow();
  }
}

void
EntryHostState::SelectStoreSource(const std::optional<HostId>& aHub)
{
  this->hub = aHub;
  this->stored = StoredPartIndex();
  if (this->routes != nullptr) {
    this->stored.SetStores(this->routes->Config().services);
  }
}

std::uint64_t
EntryHostState::WeightVersionOf(const ModelName& aModel) const
{
  return this->weights.Newest(aModel);
}

std::uint64_t
EntryHostState::WeightVersionOfAge(const ModelName& aModel, Duration aAge) const
{
  return this->weights.NewestOfAge(aModel, aAge);
}

const StoredPartIndex*
EntryHostState::Stored() const
{
  return this->hub ? &this->stored : nullptr;
}

std::uint64_t
EntryHostState::EntryHosts() const
{
  std::uint64_t largest = 0;
  for (const auto& [host, count] : this->entryHosts) {
    largest = std::max(largest, count);
  }
  return largest;
}

ControlHostZones
EntryHostState::TakeDiscoveredControlHosts()
{
  return std::exchange(this->discoveredControlHosts, {});
}

} // namespace damasklink
