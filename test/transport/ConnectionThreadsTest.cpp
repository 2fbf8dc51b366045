#include "damasklink/transport/ConnectionThreads.h"

#include <atomic>

#include <absl/synchronization/notification.h>
#include <gtest/gtest.h>

namespace damasklink {
namespace {

TEST(ConnectionThreadsTest, RefusesBeyondTheLimitWithoutWaiting)
{
  ConnectionThreads threads(1);
  absl::Notification firstRuns;
  absl::Notification firstMayEnd;
  absl::Notification secondRan;
  std::atomic<bool> firstRefused = true;
  std::atomic<bool> secondRefused = false;
  threads.Run([&] {
    firstRefused = ConnectionThreads::MustRefuse();
    firstRuns.Notify();
    firstMayEnd.WaitForNotification();
  });
  firstRuns.WaitForNotification();
  threads.Run([&] {
    secondRefused = ConnectionThreads::MustRefuse();
    secondRan.Notify();
  });
  // The first task occupies the only serving thread; the second runs nevertheless.
  secondRan.WaitForNotification();
  firstMayEnd.Notify();
  threads.Shutdown();
  EXPECT_FALSE(firstRefused);
  EXPECT_TRUE(secondRefused);
}

TEST(ConnectionThreadsTest, ShutdownRunsQueuedTasks)
{
  constexpr int kTasks = 100;
  std::atomic<int> ran = 0;
  ConnectionThreads threads(4);
  for (int task = 0; task < kTasks; ++task) {
    threads.Run([&] { ++ran; });
  }
  threads.Shutdown();
  EXPECT_EQ(ran, kTasks);
}

} // namespace
} // namespace damasklink
