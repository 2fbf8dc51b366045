// Keeps the list of refused requests in the replicated log up to date with the crashes of targets.
#pragma once

#include <vector>

#include "ServingGroup.h"
#include "damasklink/coordination/CrashRegistry.h"

namespace damasklink {

// On the leader, proposes the refusals and releases that the CrashRegistry finds. Not thread-safe.
class RefusalProposer
{
public:
  // The references must outlive the work of the loop.
  RefusalProposer(asio::io_context& aLoop, ServingGroup& aGroup, CrashRegistry& aLedger)
    : loop(aLoop)
    , group(aGroup)
    , ledger(aLedger)
  {
  }

  // Must be called regularly. Cheap while no target crashes.
  void Step();

private:
  Awaitable<void> Commit(std::vector<ServingCommand> aCommands);

  asio::io_context& loop;
  ServingGroup& group;
  CrashRegistry& ledger;
  // True while proposals are in flight; the next ones wait until they are answered.
  bool committing = false;
};

} // namespace damasklink
