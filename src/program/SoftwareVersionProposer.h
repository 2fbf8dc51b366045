// Keeps the software versions of services in the replicated log, so that control hosts know them
// after all of them were restarted.
#pragma once

#include <vector>

#include "ServingGroup.h"
#include "damasklink/coordination/SoftwareVersionHistory.h"

namespace damasklink {

// Returns the commands that bring the committed versions up to date. A version is removed only if
// the history is complete.
std::vector<SetSoftwareVersions>
SoftwareChanges(const std::map<ServiceName, SoftwareVersions>& aCommitted,
                const SoftwareVersionHistory& aHistory);

// On the leader, proposes the changes. Not thread-safe.
class SoftwareVersionProposer
{
public:
  // The references must outlive the work of the loop.
  SoftwareVersionProposer(asio::io_context& aLoop,
                          ServingGroup& aGroup,
                          const SoftwareVersionHistory& aHistory)
    : loop(aLoop)
    , group(aGroup)
    , history(aHistory)
  {
  }

  // Must be called regularly.
  void Step();

private:
  Awaitable<void> Commit(std::vector<SetSoftwareVersions> aCommands);

  asio::io_context& loop;
  ServingGroup& group;
  const SoftwareVersionHistory& history;
  // True while proposals are in flight; the next ones wait until they are answered.
  bool committing = false;
};

} // namespace damasklink
