#include "EntryPicture.h"

#include <algorithm>
#include <iterator>
#include <utility>

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
EntryPicture::Take(const HostId& aFrom, const ServingUpdate& aPicture)
{
  if (this->connected.contains(aFrom) && this->spoken.insert(aFrom).second) {
    this->targets.OnLink(aFrom, true);
  }
  for (const auto& [model, version] : aPicture.weights) {
    std::uint64_t& held = this->weights[model];
    if (version > held) {
      held = version;
      this->weightsHeardAt[model][version] = this->clock.MonotonicNow();
      LogEvent(LogLevel::Info, "weights_named")
        .With("model", model)
        .With("version", version)
        .With("from", aFrom);
    }
  }
  for (const TargetUpdate& statement : aPicture.targets) {
    this->targets.Take(aFrom, statement);
    LogEvent(LogLevel::Debug, "target_stated")
      .With("target", statement.record.id)
      .With("standing", static_cast<int>(statement.standing))
      .With("sequence", statement.record.sequence)
      .With("from", aFrom);
  }
  if (aPicture.evacuated) {
    this->TakeEvacuated(aFrom, *aPicture.evacuated);
  }
  if (aFrom == this->hub) {
    for (const StoreUpdate& statement : aPicture.stores) {
      this->stored.Apply(statement);
    }
  }
  if (aPicture.entryHosts > 0) {
    this->entryHosts[aFrom] = aPicture.entryHosts;
  }
  if (aPicture.isolated) {
    this->isolated.insert(aFrom);
  } else {
    this->isolated.erase(aFrom);
  }
  this->controlHosts.insert(aPicture.controlHosts.begin(), aPicture.controlHosts.end());
}

void
EntryPicture::TakeEvacuated(const HostId& aFrom, const EvacuatedZones& aTold)
{
  if (aTold.revision <= this->evacuationRevision) {
    return;
  }
  this->evacuationRevision = aTold.revision;
  const std::set<ZoneId>& before = this->targets.Evacuated();
  std::set_difference(aTold.zones.begin(),
                      aTold.zones.end(),
                      before.begin(),
                      before.end(),
                      std::inserter(this->newlyEvacuated, this->newlyEvacuated.end()));
  std::set_difference(before.begin(),
                      before.end(),
                      aTold.zones.begin(),
                      aTold.zones.end(),
                      std::inserter(this->newlyReturned, this->newlyReturned.end()));
  this->targets.SetEvacuated(aTold.zones);
  LogEvent(LogLevel::Info, "evacuations_told")
    .With("revision", aTold.revision)
    .With("zones", aTold.zones.size())
    .With("from", aFrom);
}

void
EntryPicture::PutInForce(RoutesPtr aRoutes)
{
  const Revision held = this->routes == nullptr ? Revision() : this->routes->Config().version;
  const Revision version = aRoutes->Config().version;
  if (version <= held) {
    return;
  }
  this->routes = std::move(aRoutes);
  this->stored.SetStores(this->routes->Config().services);
  LogEvent(LogLevel::Info, "configuration_in_force")
    .With("version", version)
    .With("before", held)
    .With("routes", this->routes->Config().routes.size());
}

void
EntryPicture::OnLink(const HostId& aHost, bool aUp)
{
  if (aUp) {
    this->connected.insert(aHost);
    return;
  }
  this->targets.OnLink(aHost, false);
  this->connected.erase(aHost);
  this->spoken.erase(aHost);
  this->isolated.erase(aHost);
  this->entryHosts.erase(aHost);
  if (this->hub == aHost) {
    this->ListenForStores(std::nullopt);
  }
}

bool
EntryPicture::IsGood(const HostId& aHost) const
{
  return this->spoken.contains(aHost) && !this->isolated.contains(aHost);
}

void
EntryPicture::ListenForStores(const std::optional<HostId>& aHub)
{
  this->hub = aHub;
  this->stored = StoredParts();
  if (this->routes != nullptr) {
    this->stored.SetStores(this->routes->Config().services);
  }
}

std::uint64_t
EntryPicture::WeightsOf(const ModelName& aModel) const
{
  const auto found = this->weights.find(aModel);
  return found == this->weights.end() ? 0 : found->second;
}

std::uint64_t
EntryPicture::WeightsKnownFor(const ModelName& aModel, Duration aAge) const
{
  const auto found = this->weightsHeardAt.find(aModel);
  if (found == this->weightsHeardAt.end()) {
    return 0;
  }
  std::uint64_t known = 0;
  for (const auto& [version, heardAt] : found->second) {
    if (this->clock.MonotonicNow() - heardAt >= aAge) {
      known = version;
    }
  }
  return known;
}

const StoredParts*
EntryPicture::Stored() const
{
  return this->hub ? &this->stored : nullptr;
}

std::uint64_t
EntryPicture::EntryHosts() const
{
  std::uint64_t most = 0;
  for (const auto& [host, count] : this->entryHosts) {
    most = std::max(most, count);
  }
  return most;
}

ControlHostZones
EntryPicture::TakeNewControlHosts()
{
  return std::exchange(this->controlHosts, {});
}

} // namespace damasklink
