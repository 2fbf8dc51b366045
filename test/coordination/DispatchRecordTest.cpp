#include "damasklink/coordination/DispatchRecord.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace damasklink {
namespace {

TEST(DispatchRecordTest, AttemptWithoutConnectionIsNotRun)
{
  DispatchRecord record;
  record.Begin(AttemptId("a-1"), TargetId("engine-1"));
  EXPECT_EQ(record.Outcome(), RunOutcome::NotRun);
}

TEST(DispatchRecordTest, LaterRefusalDoesNotHideAnEarlierLostAttempt)
{
  DispatchRecord record;
  record.Begin(AttemptId("a-1"), TargetId("engine-1"));
  record.Advance(AttemptStage::Sending);
  record.Begin(AttemptId("a-2"), TargetId("engine-2"));
  record.Advance(AttemptStage::Refused);
  EXPECT_EQ(record.Outcome(), RunOutcome::MayHaveRun);
}

// Once a target has started to answer, no later transition makes the request "not run".
RC_GTEST_PROP(DispatchRecordProperty, AnsweringIsNeverReportedAsNotRun, ())
{
  DispatchRecord record;
  record.Begin(AttemptId("a-1"), TargetId("engine-1"));
  record.Advance(AttemptStage::Sending);
  record.Advance(AttemptStage::Answering);
  const auto stages = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6));
  for (const int stage : stages) {
    record.Advance(static_cast<AttemptStage>(stage));
  }
  RC_ASSERT(record.Outcome() != RunOutcome::NotRun);
}

// Any number of attempts, each with its own fault. `acted` is whether a target ran the request.
RC_GTEST_PROP(DispatchRecordProperty, NoScheduleOfFaultsHidesThatATargetActed, ())
{
  enum Fault
  {
    NoConnection,
    LostBeforeItArrived,
    LostAfterItArrived,
    RefusedByTarget,
    CutInTheAnswer,
    None,
    Count,
  };
  DispatchRecord record;
  bool acted = false;
  const auto faults = *rc::gen::container<std::vector<int>>(rc::gen::inRange<int>(0, Count));
  for (const int fault : faults) {
    record.Begin(AttemptId("a"), TargetId("t"));
    if (fault == NoConnection) {
      continue;
    }
    record.Advance(AttemptStage::Sending);
    acted = acted || (fault != LostBeforeItArrived && fault != RefusedByTarget);
    if (fault == RefusedByTarget) {
      record.Advance(AttemptStage::Refused);
    } else if (fault == CutInTheAnswer || fault == None) {
      record.Advance(AttemptStage::Answering);
      record.Advance(fault == None ? AttemptStage::Finished : AttemptStage::Lost);
      // A refusal after the answer has started is ignored.
      record.Advance(AttemptStage::Refused);
    }
    RC_ASSERT(!acted || record.Outcome() != RunOutcome::NotRun);
  }
}

} // namespace
} // namespace damasklink
