#include "SoftwareVersionProposer.h"

#include <utility>

#include "damasklink/transport/Log.h"

namespace damasklink {

std::vector<SetSoftwareVersions>
SoftwareChanges(const std::map<ServiceName, SoftwareVersions>& aCommitted,
                const SoftwareVersionHistory& aHistory)
{
  std::vector<SetSoftwareVersions> changes;
  for (const ServiceName& service : aHistory.Services()) {
    const auto found = aCommitted.find(service);
    const SoftwareVersions committed =
      found == aCommitted.end() ? SoftwareVersions() : found->second;
    SoftwareVersions versions = aHistory.Versions(service);
    if (!aHistory.IsComplete()) {
      versions.insert(committed.begin(), committed.end());
    }
    if (versions != committed) {
      changes.push_back(SetSoftwareVersions{ service, std::move(versions) });
    }
  }
  return changes;
}

void
SoftwareVersionProposer::Step()
{
  if (this->committing || !this->group.HoldsLease()) {
    return;
  }
  std::vector<SetSoftwareVersions> commands =
    SoftwareChanges(this->group.State().Software(), this->history);
  if (!commands.empty()) {
    this->committing = true;
    asio::co_spawn(this->loop, this->Commit(std::move(commands)), asio::detached);
  }
}

Awaitable<void>
SoftwareVersionProposer::Commit(std::vector<SetSoftwareVersions> aCommands)
{
  for (const SetSoftwareVersions& command : aCommands) {
    const auto result = co_await this->group.Commit(command);
    LogEvent(LogLevel::Info, "software_versions_set")
      .With("service", command.service)
      .With("versions", command.versions.size())
      .With("committed", result.has_value());
  }
  this->committing = false;
}

} // namespace damasklink
