// Commits departures of targets to the replicated log before they are acknowledged.
#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "damasklink/coordination/ServingStateMachine.h"
#include "damasklink/state/Error.h"
#include "damasklink/transport/EventLoop.h"

namespace damasklink {

// Commits one command at a time. Departures that come meanwhile are committed together in the next
// one, so that hundreds of targets that depart at once cost a few commands. Not thread-safe.
//
//   DepartureRecorder recorder(loop, recorded, commit);
//   if (auto result = co_await recorder.Record(departure); result) ...   // It may be acknowledged.
class DepartureRecorder
{
public:
  using Commit = std::function<Awaitable<Result<void>>(const RecordDepartures&)>;

  // aRecorded is the replicated state that aCommit changes. It must outlive the work of the loop.
  DepartureRecorder(asio::io_context& aLoop, const DepartedTargets& aRecorded, Commit aCommit);

  // Returns when the departure is committed, at once if it was before. Fails as the commit does;
  // the departure may be committed later then.
  Awaitable<Result<void>> Record(const DepartedTarget& aDeparture);

private:
  struct Batch;

  Awaitable<void> CommitBatches();

  asio::io_context& loop;
  const DepartedTargets& recorded;
  Commit commit;
  // Collects departures for the next command; null if there are none.
  std::shared_ptr<Batch> next;
  bool committing = false;
};

} // namespace damasklink
