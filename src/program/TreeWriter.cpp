#include "TreeWriter.h"

#include <absl/time/time.h>

#include "damasklink/transport/Log.h"

namespace damasklink {

TreeWriter::TreeWriter(const Clock& aClock, const std::string& aFolder)
  : clock(aClock)
  , file(this->disk, aFolder)
{
}

TreeWriter::~TreeWriter()
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
TreeWriter::Start()
{
  this->thread = std::thread([this] { this->Run(); });
}

void
TreeWriter::ScheduleWrite(const RevisionedTree& aTree)
{
  absl::MutexLock lock(&this->mutex);
  this->next = aTree;
}

void
TreeWriter::Run()
{
  const auto ready = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(this->mutex) {
    return this->stopped || this->next.has_value();
  };
  while (true) {
    std::optional<RevisionedTree> tree;
    {
      absl::MutexLock lock(&this->mutex);
      this->mutex.Await(absl::Condition(&ready));
      tree.swap(this->next);
    }
    if (!tree) {
      return;
    }
    const MonotonicTime start = this->clock.MonotonicNow();
    this->Write(*tree);
    const Duration rest = (this->clock.MonotonicNow() - start) * kRestFactor;
    absl::MutexLock lock(&this->mutex);
    this->mutex.AwaitWithTimeout(absl::Condition(&this->stopped), absl::FromChrono(rest));
  }
}

void
TreeWriter::Write(const RevisionedTree& aTree)
{
  if (auto written = this->file.Write(aTree); !written) {
    // The host continues: its peers and the group's log have the tree, too.
    LogEvent(LogLevel::Error, "tree_not_stored")
      .With("revision", aTree.Current())
      .With("error", written.error());
  }
}

} // namespace damasklink
