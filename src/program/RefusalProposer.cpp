#include "RefusalProposer.h"

#include "damasklink/transport/Log.h"

namespace damasklink {
namespace {

void
LogCommand(const ServingCommand& aCommand, bool aCommitted, const CrashRegistry& aRegistry)
{
  if (const auto* refuse = std::get_if<RefuseRequest>(&aCommand)) {
    LogEvent(LogLevel::Warning, "request_refused_from_now")
      .With("fingerprint", refuse->request)
      .With("part", aRegistry.IsPart(refuse->request))
      .With("workspace", refuse->facts.workspace)
      .With("crashes", CrashRegistry::kCrashesToRefuse)
      .With("committed", aCommitted);
  } else if (const auto* release = std::get_if<ReleaseRequest>(&aCommand)) {
    LogEvent(LogLevel::Warning, "request_released")
      .With("fingerprint", release->request)
      .With("committed", aCommitted);
  }
}

} // namespace

void
RefusalProposer::Step()
{
  this->ledger.SetRefused(this->group.State().Refused());
  if (this->committing || !this->group.HoldsLease()) {
    return;
  }
  std::vector<ServingCommand> commands;
  for (const RefuseRequest& refuse : this->ledger.ToRefuse()) {
    commands.emplace_back(refuse);
  }
  for (const ReleaseRequest& release : this->ledger.ToRelease()) {
    commands.emplace_back(release);
  }
  if (!commands.empty()) {
    this->committing = true;
    asio::co_spawn(this->loop, this->Commit(std::move(commands)), asio::detached);
  }
}

Awaitable<void>
RefusalProposer::Commit(std::vector<ServingCommand> aCommands)
{
  for (const ServingCommand& command : aCommands) {
    const auto result = co_await this->group.Commit(command);
    LogCommand(command, result.has_value(), this->ledger);
  }
  this->committing = false;
}

} // namespace damasklink
