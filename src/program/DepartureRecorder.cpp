#include "DepartureRecorder.h"

#include <utility>

#include "damasklink/transport/Log.h"
#include "damasklink/transport/ResultLog.h"

namespace damasklink {

// The departures of one command, and the timer that wakes those who wait for its result.
struct DepartureRecorder::Batch
{
  explicit Batch(asio::io_context& aLoop)
    : done(aLoop, MonotonicTime::max())
  {
  }

  RecordDepartures command;
  asio::steady_timer done;
  std::optional<Result<void>> result;
};

DepartureRecorder::DepartureRecorder(asio::io_context& aLoop,
                                     const DepartedTargets& aRecorded,
                                     Commit aCommit)
  : loop(aLoop)
  , recorded(aRecorded)
  , commit(std::move(aCommit))
{
}

Awaitable<Result<void>>
DepartureRecorder::Record(const DepartedTarget& aDeparture)
{
  if (this->recorded.Contains(aDeparture.target, aDeparture.incarnation)) {
    co_return Success();
  }
  if (this->next == nullptr) {
    this->next = std::make_shared<Batch>(this->loop);
  }
  const std::shared_ptr<Batch> batch = this->next;
  batch->command.departures.push_back(aDeparture);
  if (!std::exchange(this->committing, true)) {
    asio::co_spawn(this->loop, this->CommitBatches(), asio::detached);
  }
  while (!batch->result) {
    co_await batch->done.async_wait(kAsValue);
  }
  co_return *batch->result;
}

Awaitable<void>
DepartureRecorder::CommitBatches()
{
  while (this->next != nullptr) {
    const std::shared_ptr<Batch> batch = std::exchange(this->next, nullptr);
    const auto result = co_await this->commit(batch->command);
    LogEvent event(LogLevel::Info, result ? "departures_recorded" : "departures_not_recorded");
    event.With("count", batch->command.departures.size())
      .With("first", batch->command.departures.front().target);
    AddError(event, result);
    batch->result = result;
    batch->done.cancel();
  }
  this->committing = false;
}

} // namespace damasklink
