#include "program/DepartureRecorder.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

class DepartureRecorderTest : public ::testing::Test
{
protected:
  void Record(const std::string& aId)
  {
    asio::co_spawn(
      this->loop,
      [this, aId]() -> Awaitable<void> {
        const DepartedTarget departure{ TargetId(aId), Incarnation() };
        const auto result = co_await this->recorder.Record(departure);
        this->results.push_back(result.has_value());
      },
      asio::detached);
  }

  // Lets the loop run until only the commit is waited for.
  void Run()
  {
    this->loop.restart();
    this->loop.poll();
  }

  Awaitable<Result<void>> Commit(const RecordDepartures& aCommand)
  {
    this->commits.push_back(aCommand.departures.size());
    co_await this->committed.async_wait(kAsValue);
    if (this->failing) {
      co_return Fail(ErrorKind::Unavailable, "no leader", "try again");
    }
    for (const DepartedTarget& departure : aCommand.departures) {
      this->recorded.Add(departure);
    }
    co_return Success();
  }

  void EndCommit()
  {
    this->committed.cancel();
    this->Run();
  }

  asio::io_context loop;
  asio::steady_timer committed{ this->loop, MonotonicTime::max() };
  DepartedTargets recorded;
  bool failing = false;
  std::vector<std::size_t> commits;
  std::vector<bool> results;
  DepartureRecorder recorder{ this->loop, this->recorded, [this](const auto& aCommand) {
                               return this->Commit(aCommand);
                             } };
};

// Guards against a command for each of hundreds of targets that depart at once.
TEST_F(DepartureRecorderTest, DeparturesThatComeDuringACommitShareTheNextOne)
{
  this->Record("t");
  this->Run();
  for (int index = 0; index < 200; ++index) {
    this->Record("u" + std::to_string(index));
  }
  this->Run();
  EXPECT_TRUE(this->results.empty());
  this->EndCommit();
  EXPECT_EQ(this->results.size(), 1U);
  this->EndCommit();
  EXPECT_EQ(this->commits, (std::vector<std::size_t>{ 1, 200 }));
  EXPECT_EQ(this->results, std::vector<bool>(201, true));
  this->Record("u7");
  this->Run();
  EXPECT_EQ(this->results.size(), 202U);
  EXPECT_EQ(this->commits.size(), 2U);
}

TEST_F(DepartureRecorderTest, FailureIsReportedAndTheNextOneIsCommitted)
{
  this->failing = true;
  this->Record("t");
  this->Run();
  this->EndCommit();
  EXPECT_EQ(this->results, std::vector<bool>{ false });
  this->failing = false;
  this->Record("t");
  this->Run();
  this->EndCommit();
  EXPECT_EQ(this->results, (std::vector<bool>{ false, true }));
}

} // namespace
} // namespace damasklink
