#include "LogWriter.h"

#include <utility>

namespace damasklink {

LogWriter::LogWriter(std::function<void()> aWake)
  : wake(std::move(aWake))
{
}

LogWriter::~LogWriter()
{
  this->Stop();
}

void
LogWriter::Add(const GroupId& aGroup, std::unique_ptr<LogStore> aStore)
{
  this->stores[aGroup] = std::move(aStore);
}

void
LogWriter::Start()
{
  this->thread = std::thread([this] { this->Run(); });
}

void
LogWriter::Stop()
{
  {
    absl::MutexLock lock(&this->mutex);
    this->stopped = true;
  }
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

void
LogWriter::Write(const GroupId& aGroup, PersistBatch aBatch)
{
  absl::MutexLock lock(&this->mutex);
  this->work[aGroup].batches.push_back(std::move(aBatch));
}

void
LogWriter::Reopen(const GroupId& aGroup, std::unique_ptr<LogStore> aStore)
{
  absl::MutexLock lock(&this->mutex);
  this->work[aGroup].reopened = std::move(aStore);
}

void
LogWriter::WaitUntilIdle()
{
  const auto idle = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(this->mutex) {
    return this->work.empty() && !this->writing;
  };
  absl::MutexLock lock(&this->mutex);
  this->mutex.Await(absl::Condition(&idle));
}

std::vector<WriteCompletion>
LogWriter::TakeCompletions()
{
  absl::MutexLock lock(&this->mutex);
  return std::exchange(this->completions, {});
}

std::vector<ReopenedStore>
LogWriter::TakeReopened()
{
  absl::MutexLock lock(&this->mutex);
  return std::exchange(this->reopenedStores, {});
}

void
LogWriter::Run()
{
  const auto ready = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(this->mutex) {
    return this->stopped || !this->work.empty();
  };
  while (true) {
    Work taken;
    {
      absl::MutexLock lock(&this->mutex);
      this->mutex.Await(absl::Condition(&ready));
      taken = std::exchange(this->work, {});
      this->writing = !taken.empty();
    }
    if (taken.empty()) {
      return;
    }
    for (auto& [group, groupWork] : taken) {
      if (!groupWork.batches.empty()) {
        WriteCompletion completion = this->WriteGroup(group, groupWork.batches);
        absl::MutexLock lock(&this->mutex);
        this->completions.push_back(std::move(completion));
      }
      if (groupWork.reopened != nullptr) {
        ReopenedStore reopened = this->OpenGroup(group, std::move(groupWork.reopened));
        absl::MutexLock lock(&this->mutex);
        this->reopenedStores.push_back(std::move(reopened));
      }
    }
    {
      absl::MutexLock lock(&this->mutex);
      this->writing = false;
    }
    this->wake();
  }
}

ReopenedStore
LogWriter::OpenGroup(const GroupId& aGroup, std::unique_ptr<LogStore> aStore)
{
  ReopenedStore reopened{ aGroup, aStore->Open() };
  if (reopened.recovered) {
    this->stores[aGroup] = std::move(aStore);
  }
  return reopened;
}

WriteCompletion
LogWriter::WriteGroup(const GroupId& aGroup, const std::vector<PersistBatch>& aBatches)
{
  WriteCompletion completion{ aGroup, aBatches.back().number, std::nullopt };
  if (auto written = this->stores.at(aGroup)->Write(aBatches); !written) {
    completion.failure = written.error();
  }
  return completion;
}

} // namespace damasklink
