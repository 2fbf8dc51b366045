// Keeps the replicated log's list of refused requests in step with what crashes targets.
#pragma once

#include <vector>

#include "ServingGroup.h"
#include "damasklink/coordination/CrashLedger.h"

namespace damasklink {

// The leader proposes what the ledger finds. Not thread-safe.
class RefusalProposer
{
public:
  // Requires that all outlive the loop's work.
  RefusalProposer(asio::io_context& aLoop, ServingGroup& aGroup, CrashLedger& aLedger)
    : loop(aLoop)
    , group(aGroup)
    , ledger(aLedger)
  {
  }

  // Requires to be called now and then. Costs little where nothing crashes.
  void Step();

private:
  Awaitable<void> Commit(std::vector<ServingCommand> aCommands);

  asio::io_context& loop;
  ServingGroup& group;
  CrashLedger& ledger;
  // Proposals are under way; the next ones wait for them.
  bool committing = false;
};

} // namespace damasklink
