#include "damasklink/coordination/DispatchRecord.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace damasklink {
namespace {

TEST(DispatchRecordTest, ConnectionThatNeverCameToBeIsNotRun)
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

// Once a target has begun to answer, no later move makes the request "not run".
RC_GTEST_PROP(DispatchRecordProperty, AnsweringIsNeverReportedAsNotRun, ())
{
  DispatchRecord record;
  record.Begin(AttemptId("a-1"), TargetId("engine-1"));
  record.Advance(AttemptStage::Sending);
  record.Advance(AttemptStage::Answering);
  const auto moves = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6));
  for (const int move : moves) {
    record.Advance(static_cast<AttemptStage>(move));
  }
  RC_ASSERT(record.Outcome() != RunOutcome::NotRun);
}

} // namespace
} // namespace damasklink
