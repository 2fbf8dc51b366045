#include "damasklink/state/LogStore.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "support/FakeDisk.h"

namespace damasklink {
namespace {

using testing::FakeDisk;

LogEntry
MakeEntry(std::uint64_t aIndex, std::uint64_t aTerm = 1)
{
  LogEntry entry;
  entry.index = LogIndex(aIndex);
  entry.term = Term(aTerm);
  entry.kind = EntryKind::Command;
  entry.command = "command " + std::to_string(aIndex);
  return entry;
}

PersistBatch
MakeBatch(std::uint64_t aFirst, std::uint64_t aLast, std::uint64_t aTerm = 1)
{
  PersistBatch batch;
  batch.hardState = HardState{ FormationId(7), Term(aTerm), ReplicaId(9) };
  for (std::uint64_t index = aFirst; index <= aLast; ++index) {
    batch.entries.push_back(MakeEntry(index, aTerm));
  }
  return batch;
}

SnapshotPtr
MakeSnapshot(std::uint64_t aIndex, std::uint64_t aTerm = 1)
{
  Snapshot snapshot;
  snapshot.index = LogIndex(aIndex);
  snapshot.term = Term(aTerm);
  snapshot.data = "state";
  return std::make_shared<const Snapshot>(snapshot);
}

// Opens a store of its own and writes the batches.
Result<void>
WriteBatches(FakeDisk& aDisk, const std::vector<PersistBatch>& aBatches)
{
  LogStore store(aDisk, "g");
  if (auto opened = store.Open(); !opened) {
    return Fail(opened.error());
  }
  return store.Write(aBatches);
}

Result<RecoveredLog>
Reopen(FakeDisk& aDisk)
{
  return LogStore(aDisk, "g").Open();
}

TEST(LogStoreTest, ReadsBackWhatWasWritten)
{
  FakeDisk disk;
  ASSERT_TRUE(WriteBatches(disk, { MakeBatch(1, 3), MakeBatch(4, 4) }));
  auto recovered = Reopen(disk);
  ASSERT_TRUE(recovered) << recovered.error();
  EXPECT_EQ(recovered.value().entries.size(), 4U);
  EXPECT_EQ(recovered.value().entries[3], MakeEntry(4));
  EXPECT_EQ(recovered.value().hardState, (HardState{ FormationId(7), Term(1), ReplicaId(9) }));
}

TEST(LogStoreTest, LaterEntryCutsOffWhatStoodThere)
{
  FakeDisk disk;
  ASSERT_TRUE(WriteBatches(disk, { MakeBatch(1, 5), MakeBatch(3, 3, 2) }));
  auto recovered = Reopen(disk);
  ASSERT_TRUE(recovered) << recovered.error();
  ASSERT_EQ(recovered.value().entries.size(), 3U);
  EXPECT_EQ(recovered.value().entries[2].term, Term(2));
}

TEST(LogStoreTest, KeepsEntriesBehindItsOwnSnapshot)
{
  FakeDisk disk;
  PersistBatch snapshot;
  snapshot.snapshot = MakeSnapshot(3);
  ASSERT_TRUE(WriteBatches(disk, { MakeBatch(1, 5), snapshot }));
  auto recovered = Reopen(disk);
  ASSERT_TRUE(recovered) << recovered.error();
  ASSERT_EQ(recovered.value().entries.size(), 2U);
  EXPECT_EQ(recovered.value().snapshot->index, LogIndex(3));
}

TEST(LogStoreTest, SnapshotOfAnotherReplicaVoidsTheLog)
{
  FakeDisk disk;
  PersistBatch snapshot;
  snapshot.snapshot = MakeSnapshot(3, 2);
  snapshot.replacesLog = true;
  ASSERT_TRUE(WriteBatches(disk, { MakeBatch(1, 5), snapshot }));
  auto recovered = Reopen(disk);
  ASSERT_TRUE(recovered) << recovered.error();
  EXPECT_TRUE(recovered.value().entries.empty());
}

// Guards against a host that can never read its log again, or loses entries that it acknowledged,
// after its process ended while the snapshot of another replica replaced its log. aTerm: the term
// of the entries that the snapshot replaces.
void
SurvivesAnInterruptedInstall(std::uint64_t aLast, std::uint64_t aTerm, bool aCutPower)
{
  constexpr int kWritingCalls = 14;
  for (int calls = 0; calls < kWritingCalls; ++calls) {
    FakeDisk disk;
    PersistBatch install;
    install.snapshot = MakeSnapshot(10, 2);
    install.replacesLog = true;
    ASSERT_TRUE(WriteBatches(disk, { MakeBatch(1, aLast, aTerm) }));
    {
      LogStore store(disk, "g");
      ASSERT_TRUE(store.Open());
      disk.FailAfter(calls);
      static_cast<void>(store.Write({ install }));
    }
    if (aCutPower) {
      std::mt19937_64 random(calls);
      disk.CutPower(random);
    } else {
      disk.KillProcess();
    }
    LogStore store(disk, "g");
    const auto recovered = store.Open();
    ASSERT_TRUE(recovered) << calls << ": " << recovered.error();
    if (recovered.value().snapshot == nullptr) {
      continue;
    }
    EXPECT_TRUE(recovered.value().entries.empty());
    ASSERT_TRUE(store.Write({ MakeBatch(11, 12, 2) }));
    const auto again = Reopen(disk);
    ASSERT_TRUE(again) << calls << ": " << again.error();
    ASSERT_EQ(again.value().entries.size(), 2U) << calls;
    EXPECT_EQ(again.value().entries.back(), MakeEntry(12, 2));
  }
}

TEST(LogStoreTest, ShorterLogIsReadAfterAnInterruptedInstall)
{
  SurvivesAnInterruptedInstall(5, 1, false);
  SurvivesAnInterruptedInstall(5, 1, true);
}

TEST(LogStoreTest, DifferingLogIsReadAfterAnInterruptedInstall)
{
  SurvivesAnInterruptedInstall(15, 1, false);
  SurvivesAnInterruptedInstall(15, 1, true);
}

TEST(LogStoreTest, CutsTailThatWasNeverAcknowledged)
{
  FakeDisk disk;
  LogStore store(disk, "g");
  ASSERT_TRUE(store.Open());
  ASSERT_TRUE(store.Write({ MakeBatch(1, 2) }));
  disk.FailAfter(1);
  ASSERT_FALSE(store.Write({ MakeBatch(3, 3) }));
  disk.KillProcess();
  auto recovered = Reopen(disk);
  ASSERT_TRUE(recovered) << recovered.error();
  EXPECT_EQ(recovered.value().entries.size(), 2U);
}

TEST(LogStoreTest, AcknowledgedTailThatIsGoneIsNamed)
{
  FakeDisk disk;
  ASSERT_TRUE(WriteBatches(disk, { MakeBatch(1, 3) }));
  std::string& log = disk.Content("g/log-0000000000000001");
  log.resize(log.size() - 1);
  auto recovered = Reopen(disk);
  ASSERT_FALSE(recovered);
  EXPECT_EQ(recovered.error().kind, ErrorKind::Corrupt);
}

TEST(LogStoreTest, AcknowledgedRecordThatIsGoneIsNamed)
{
  FakeDisk disk;
  LogStore store(disk, "g");
  ASSERT_TRUE(store.Open());
  ASSERT_TRUE(store.Write({ MakeBatch(1, 2) }));
  std::string& log = disk.Content("g/log-0000000000000001");
  const std::size_t before = log.size();
  ASSERT_TRUE(store.Write({ MakeBatch(3, 3) }));
  log.resize(before);
  auto recovered = Reopen(disk);
  ASSERT_FALSE(recovered);
  EXPECT_EQ(recovered.error().kind, ErrorKind::Corrupt);
}

// The process died between its write and the sync. What the next one has read, it may acknowledge.
TEST(LogStoreTest, WhatWasReadOnceSurvivesAPowerCut)
{
  for (std::uint64_t seed = 0; seed < 20; ++seed) {
    FakeDisk disk;
    LogStore store(disk, "g");
    ASSERT_TRUE(store.Open());
    disk.FailAfter(2);
    ASSERT_FALSE(store.Write({ MakeBatch(1, 3) }));
    disk.KillProcess();
    ASSERT_EQ(Reopen(disk).value().entries.size(), 3U);
    std::mt19937_64 random(seed);
    disk.CutPower(random);
    auto recovered = Reopen(disk);
    ASSERT_TRUE(recovered) << recovered.error();
    EXPECT_EQ(recovered.value().entries.size(), 3U);
  }
}

// Guards against a host that cannot open its log after a power cut: a snapshot drops several log
// files at once, and of removals that are not synced any may be undone.
TEST(LogStoreTest, RemovedLogFilesLeaveNoGapAfterAPowerCut)
{
  for (std::uint64_t seed = 0; seed < 50; ++seed) {
    FakeDisk disk;
    ASSERT_TRUE(WriteBatches(disk, { MakeBatch(1, 3) }));
    ASSERT_TRUE(WriteBatches(disk, { MakeBatch(4, 4) }));
    PersistBatch snapshot;
    snapshot.snapshot = MakeSnapshot(5);
    ASSERT_TRUE(WriteBatches(disk, { MakeBatch(5, 6), snapshot, MakeBatch(7, 7) }));
    std::mt19937_64 random(seed);
    disk.CutPower(random);
    auto recovered = Reopen(disk);
    ASSERT_TRUE(recovered) << seed << ": " << recovered.error();
    ASSERT_EQ(recovered.value().entries.size(), 2U);
  }
}

// Guards against a host that cannot open its log after a power cut: the mark is written after each
// sync of the log without one of its own, so a cut may tear all its writes since.
TEST(LogStoreTest, TornMarkIsReadAfterAPowerCut)
{
  for (std::uint64_t seed = 0; seed < 100; ++seed) {
    FakeDisk disk;
    std::mt19937_64 random(seed);
    std::uint64_t written = 0;
    for (int life = 0; life < 3; ++life) {
      LogStore store(disk, "g");
      auto recovered = store.Open();
      ASSERT_TRUE(recovered) << seed << ": " << recovered.error();
      ASSERT_EQ(recovered.value().entries.size(), written);
      for (std::uint64_t count = random() % 4; count > 0; --count) {
        ++written;
        ASSERT_TRUE(store.Write({ MakeBatch(written, written) }));
      }
      if (random() % 3 == 0) {
        disk.KillProcess();
      } else {
        disk.CutPower(random);
      }
    }
    ASSERT_EQ(Reopen(disk).value().entries.size(), written);
  }
}

TEST(LogStoreTest, OtherVersionIsNamed)
{
  FakeDisk disk;
  ASSERT_TRUE(WriteBatches(disk, { MakeBatch(1, 3) }));
  disk.Content("g/log-0000000000000001")[4] = 2;
  auto recovered = Reopen(disk);
  ASSERT_FALSE(recovered);
  EXPECT_EQ(recovered.error().kind, ErrorKind::InvalidArgument);
}

TEST(LogStoreTest, MissingLogFileIsNamed)
{
  FakeDisk disk;
  ASSERT_TRUE(WriteBatches(disk, { MakeBatch(1, 3) }));
  ASSERT_TRUE(WriteBatches(disk, { MakeBatch(4, 4) }));
  ASSERT_TRUE(WriteBatches(disk, { MakeBatch(5, 5) }));
  ASSERT_TRUE(disk.Remove("g/log-0000000000000002"));
  auto recovered = Reopen(disk);
  ASSERT_FALSE(recovered);
  EXPECT_EQ(recovered.error().kind, ErrorKind::Corrupt);
}

TEST(LogStoreTest, FullDiskIsNamedAndStopsTheStore)
{
  FakeDisk disk;
  LogStore store(disk, "g");
  ASSERT_TRUE(store.Open());
  disk.SetFull(true);
  auto full = store.Write({ MakeBatch(1, 1) });
  ASSERT_FALSE(full);
  EXPECT_EQ(full.error().kind, ErrorKind::Storage);
  disk.SetFull(false);
  EXPECT_FALSE(store.Write({ MakeBatch(1, 1) }));
}

TEST(LogStoreTest, DiskStaysFlatOverManyChanges)
{
  constexpr std::uint64_t kChanges = 100'000;
  constexpr std::uint64_t kEach = 1'000;
  FakeDisk disk;
  LogStore store(disk, "g");
  ASSERT_TRUE(store.Open());
  for (std::uint64_t first = 1; first < kChanges; first += kEach) {
    PersistBatch batch = MakeBatch(first, first + kEach - 1);
    ASSERT_TRUE(store.Write({ batch }));
    PersistBatch snapshot;
    snapshot.snapshot = MakeSnapshot(first + kEach - 1);
    ASSERT_TRUE(store.Write({ snapshot }));
    ASSERT_LE(disk.List("g").value().size(), 4U);
  }
}

// Whatever byte flips in whatever file, nothing is skipped: the store names the damage, or has
// everything that was acknowledged.
RC_GTEST_PROP(LogStoreProperty, FlippedByteIsNeverSkipped, ())
{
  FakeDisk disk;
  PersistBatch snapshot;
  snapshot.snapshot = MakeSnapshot(2);
  RC_ASSERT(WriteBatches(disk, { MakeBatch(1, 3), snapshot, MakeBatch(4, 6) }).has_value());
  const auto expected = Reopen(disk).value();
  const auto names = disk.List("g").value();
  std::string& content = disk.Content("g/" + *rc::gen::elementOf(names));
  const auto position = *rc::gen::inRange<std::size_t>(0, content.size());
  content[position] = static_cast<char>(content[position] ^ *rc::gen::inRange(1, 256));
  const auto recovered = Reopen(disk);
  if (recovered.has_value()) {
    RC_ASSERT(recovered.value().entries == expected.entries);
    RC_ASSERT(recovered.value().hardState == expected.hardState);
    RC_ASSERT(*recovered.value().snapshot == *expected.snapshot);
  }
}

} // namespace
} // namespace damasklink
