#include "EntryPicture.h"

#include <algorithm>
#include <utility>

#include "damasklink/transport/Log.h"

namespace damasklink {

void
EntryPicture::Take(const HostId& aFrom, const Picture& aPicture)
{
  this->TakeDocument(aFrom, aPicture);
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
  for (const TargetStatement& statement : aPicture.targets) {
    this->targets.Take(aFrom, statement);
    LogEvent(LogLevel::Debug, "target_stated")
      .With("target", statement.record.id)
      .With("standing", static_cast<int>(statement.standing))
      .With("sequence", statement.record.sequence)
      .With("from", aFrom);
  }
  for (const StoreStatement& statement : aPicture.stores) {
    this->stored[aFrom].Take(statement);
  }
  if (aPicture.entryHosts > 0) {
    this->entryHosts[aFrom] = aPicture.entryHosts;
  }
  if (!aPicture.zone.Empty()) {
    this->zones[aFrom] = aPicture.zone;
  }
  this->controlHosts.insert(
    this->controlHosts.end(), aPicture.controlHosts.begin(), aPicture.controlHosts.end());
}

void
EntryPicture::TakeDocument(const HostId& aFrom, const Picture& aPicture)
{
  const Revision held = this->routes == nullptr ? Revision() : this->routes->Config().version;
  if (aPicture.document.empty() || aPicture.documentVersion <= held) {
    return;
  }
  auto config = this->dialect.ReadConfig(aPicture.document);
  if (!config) {
    LogEvent(LogLevel::Error, "configuration_unreadable")
      .With("version", aPicture.documentVersion)
      .With("from", aFrom)
      .With("error", config.error());
    return;
  }
  this->routes = std::make_shared<const RouteTable>(
    std::make_shared<const ServingConfig>(std::move(config.value())));
  for (auto& [host, parts] : this->stored) {
    parts.SetStores(this->routes->Config().services);
  }
  LogEvent(LogLevel::Info, "configuration_in_force")
    .With("version", aPicture.documentVersion)
    .With("before", held)
    .With("routes", this->routes->Config().routes.size())
    .With("from", aFrom);
}

void
EntryPicture::OnLink(const HostId& aHost, bool aUp)
{
  this->targets.OnLink(aHost, aUp);
  if (!aUp) {
    this->entryHosts.erase(aHost);
    this->stored.erase(aHost);
    return;
  }
  StoredParts& parts = this->stored[aHost];
  if (this->routes != nullptr) {
    parts.SetStores(this->routes->Config().services);
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
  const StoredParts* best = nullptr;
  for (const auto& [host, parts] : this->stored) {
    if (best == nullptr || parts.LiveStores() > best->LiveStores()) {
      best = &parts;
    }
  }
  return best;
}

ZoneId
EntryPicture::ZoneOf(const HostId& aHost) const
{
  const auto found = this->zones.find(aHost);
  return found == this->zones.end() ? ZoneId() : found->second;
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

std::vector<HostId>
EntryPicture::TakeNewControlHosts()
{
  return std::exchange(this->controlHosts, {});
}

} // namespace damasklink
