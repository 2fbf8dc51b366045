#include "damasklink/coordination/TargetSelector.h"

#include <map>
#include <string>

#include <gtest/gtest.h>

namespace damasklink {
namespace {

TargetRecord
Target(const std::string& aId, const std::string& aZone)
{
  TargetRecord record;
  record.id = TargetId(aId);
  record.zone = ZoneId(aZone);
  return record;
}

class TargetSelectorTest : public ::testing::Test
{
protected:
  // Calls with a prompt, unless a test says otherwise.
  TargetSelectorTest() { this->question.promptTokens = TokenCount(1); }

  std::string Choose()
  {
    const TargetRecord* chosen = this->picker.Choose(this->question, this->targets);
    return chosen == nullptr ? "" : chosen->id.Value();
  }

  void Load(const std::string& aId, int aRequests)
  {
    for (int index = 0; index < aRequests; ++index) {
      this->picker.OnSent(TargetId(aId), SelectionRequest{}, CallLoad{});
    }
  }

  ManualClock clock;
  TargetHealth health{ this->clock, 1 };
  ZoneReach reach{ this->clock, 1 };
  TargetSelector picker{ this->health, this->reach, 1 };
  SelectionRequest question;
  std::vector<TargetRecord> targets{ Target("a", "z"), Target("b", "z"), Target("c", "z") };
};

TEST_F(TargetSelectorTest, LeastLoadedTargetIsChosen)
{
  this->Load("a", 3);
  this->Load("c", 2);
  EXPECT_EQ(this->Choose(), "b");
}

TEST_F(TargetSelectorTest, CallsWithoutPromptSpreadOverSimilarlyLoadedTargets)
{
  this->question.promptTokens = TokenCount();
  this->Load("a", 2);
  this->Load("c", 3);
  std::map<std::string, int> chosen;
  for (int call = 0; call < 300; ++call) {
    ++chosen[this->Choose()];
  }
  EXPECT_GT(chosen["a"], 70);
  EXPECT_GT(chosen["b"], 70);
  EXPECT_GT(chosen["c"], 70);
}

TEST_F(TargetSelectorTest, CallsWithoutPromptMostlyAvoidAnOverloadedTarget)
{
  this->question.promptTokens = TokenCount();
  this->Load("a", 40);
  this->Load("b", 3);
  this->Load("c", 3);
  int chosen = 0;
  for (int call = 0; call < 300; ++call) {
    chosen += this->Choose() == "a" ? 1 : 0;
  }
  // Both draws would have to hit it.
  EXPECT_LT(chosen, 60);
}

TEST_F(TargetSelectorTest, EndedRequestsNoLongerCount)
{
  this->Load("a", 3);
  this->Load("b", 1);
  this->Load("c", 3);
  this->picker.OnEnd(TargetId("a"), CallLoad{});
  this->picker.OnEnd(TargetId("a"), CallLoad{});
  this->picker.OnEnd(TargetId("a"), CallLoad{});
  EXPECT_EQ(this->Choose(), "a");
}

TEST_F(TargetSelectorTest, ExcludedTargetsAreNotChosen)
{
  this->question.excluded = { TargetId("a"), TargetId("b") };
  EXPECT_EQ(this->Choose(), "c");
  this->question.excluded.insert(TargetId("c"));
  EXPECT_EQ(this->Choose(), "");
}

TEST_F(TargetSelectorTest, OwnZoneIsPreferredAtEqualLoad)
{
  this->targets = { Target("a", "other"), Target("b", "z"), Target("c", "other") };
  this->question.zone = ZoneId("z");
  EXPECT_EQ(this->Choose(), "b");
}

TEST_F(TargetSelectorTest, TargetWithTheCachedPartIsChosen)
{
  this->question.promptTokens = TokenCount(9000);
  this->question.parts = { SizedPart{ PartKey(1), TokenCount(8000) } };
  this->picker.Held().OnRead(TargetId("c"), this->question.parts);
  EXPECT_EQ(this->Choose(), "c");
  EXPECT_EQ(this->picker.UncachedTokens(this->question, TargetId("c")), TokenCount(1000));
  EXPECT_EQ(this->picker.UncachedTokens(this->question, TargetId("a")), TokenCount(9000));
}

TEST_F(TargetSelectorTest, QueuedPrefillCounts)
{
  SelectionRequest large;
  large.promptTokens = TokenCount(9000);
  CallLoad work;
  work.uncachedTokens = TokenCount(9000);
  this->picker.OnSent(TargetId("a"), large, work);
  this->Load("b", 2);
  this->Load("c", 2);
  EXPECT_NE(this->Choose(), "a");
}

TEST_F(TargetSelectorTest, WeightsBelowTheMinimumAreUsedOnlyWithoutAlternatives)
{
  this->targets[0].models = { ServedModel{ ModelName("m"), WeightVersion("1"), {} } };
  this->targets[1].models = { ServedModel{ ModelName("m"), WeightVersion("2"), {} } };
  this->targets[2].models = { ServedModel{ ModelName("m"), WeightVersion("1"), {} } };
  this->question.promptTokens = TokenCount(100);
  this->question.model = ModelName("m");
  this->question.weights = 2;
  this->Load("b", 100);
  EXPECT_NE(this->Choose(), "b");
  this->question.minWeights = 2;
  EXPECT_EQ(this->Choose(), "b");
  this->targets[1].models.front().version = WeightVersion("1");
  EXPECT_NE(this->Choose(), "");
}

TEST_F(TargetSelectorTest, LoadFromOtherHostsCounts)
{
  const TargetSendsNow many{ TargetId("a"), 9, TokenCount(), TokenCount(), {} };
  const TargetSendsNow some{ TargetId("b"), 5, TokenCount(), TokenCount(), {} };
  this->picker.TakeSum(SendsNews{ HostId("other"), { many, some }, {}, {}, false },
                       this->clock.MonotonicNow());
  EXPECT_EQ(this->Choose(), "c");
  const TargetSendsNow none{ TargetId("a"), 0, TokenCount(), TokenCount(), {} };
  this->picker.TakeSum(SendsNews{ HostId("other"), { none }, {}, {}, false },
                       this->clock.MonotonicNow());
  this->Load("c", 3);
  EXPECT_EQ(this->Choose(), "a");
}

TEST_F(TargetSelectorTest, SumsOfSilentControlHostsAreForgotten)
{
  const TargetSendsNow many{ TargetId("a"), 9, TokenCount(), TokenCount(), {} };
  this->picker.TakeSum(SendsNews{ HostId("gone"), { many }, {}, {}, false },
                       this->clock.MonotonicNow());
  this->Load("b", 1);
  this->Load("c", 1);
  EXPECT_NE(this->Choose(), "a");
  this->clock.Advance(std::chrono::seconds(3));
  this->picker.ForgetSumsBefore(this->clock.MonotonicNow() - std::chrono::seconds(2));
  EXPECT_EQ(this->Choose(), "a");
}

TEST_F(TargetSelectorTest, OwnLoadInASumIsNotCountedTwice)
{
  this->Load("a", 2);
  this->Load("b", 3);
  this->Load("c", 3);
  this->picker.TakeSends();
  const TargetSendsNow sum{ TargetId("a"), 2, TokenCount(), TokenCount(), {} };
  this->picker.TakeSum(SendsNews{ HostId("hub"), { sum }, {}, {}, false },
                       this->clock.MonotonicNow());
  EXPECT_EQ(this->Choose(), "a") << "two there, not four";
}

TEST_F(TargetSelectorTest, FullReportFollowsAChangeOfControlHost)
{
  this->Load("a", 2);
  this->picker.TakeSends();
  this->picker.TellAllAnew();
  const auto sends = this->picker.TakeSends();
  ASSERT_EQ(sends.size(), 1U);
  EXPECT_EQ(sends.front().requests, 2U);
}

TEST_F(TargetSelectorTest, SendsAreReportedOnceWithTheirParts)
{
  this->question.parts = { SizedPart{ PartKey(1), TokenCount(800) } };
  this->picker.OnSent(TargetId("a"), this->question, CallLoad{});
  const auto sends = this->picker.TakeSends();
  ASSERT_EQ(sends.size(), 1U);
  EXPECT_EQ(sends.front().requests, 1U);
  EXPECT_EQ(sends.front().parts, this->question.parts);
  EXPECT_TRUE(this->picker.TakeSends().empty());
  this->picker.OnEnd(TargetId("a"), CallLoad{});
  ASSERT_EQ(this->picker.TakeSends().size(), 1U);
}

TEST_F(TargetSelectorTest, TargetWithFullMemoryIsAvoided)
{
  this->question.promptTokens = TokenCount(10'000);
  this->question.cacheTokens = TokenCount(100'000);
  this->question.parts = { SizedPart{ PartKey(1), TokenCount(8000) } };
  this->picker.Held().OnRead(TargetId("a"), this->question.parts);
  EXPECT_EQ(this->Choose(), "a");
  CallLoad large;
  large.memory = TokenCount(95'000);
  this->picker.OnSent(TargetId("a"), SelectionRequest{}, large);
  EXPECT_NE(this->Choose(), "a");
}

TEST_F(TargetSelectorTest, HolderInTheSameZoneIsPreferred)
{
  this->targets = { Target("a", "far"), Target("b", "near"), Target("c", "near") };
  const SizedPart part{ PartKey(1), TokenCount(800) };
  EXPECT_EQ(this->picker.FindHolder(part, this->targets, this->targets[2]), nullptr);
  this->picker.Held().OnRead(TargetId("a"), { part });
  this->picker.Held().OnRead(TargetId("c"), { part });
  EXPECT_EQ(this->picker.FindHolder(part, this->targets, this->targets[2])->id, TargetId("a"));
  this->picker.Held().OnRead(TargetId("b"), { part });
  EXPECT_EQ(this->picker.FindHolder(part, this->targets, this->targets[2])->id, TargetId("b"));
}

TEST_F(TargetSelectorTest, EjectedTargetIsNotChosen)
{
  for (int failure = 0; failure < TargetHealth::kConsecutiveFailures; ++failure) {
    this->health.OnEnd(TargetId("a"), HealthSignal::Bad);
  }
  this->Load("b", 5);
  this->Load("c", 5);
  EXPECT_NE(this->Choose(), "a");
}

TEST_F(TargetSelectorTest, TargetsOfAnUnreachableZoneAreTheLastChoice)
{
  this->targets = { Target("a", "near"), Target("b", "far"), Target("c", "far") };
  for (const char* gone : { "b", "c", "d" }) {
    this->reach.OnEnd(ZoneId("far"), TargetId(gone), HealthSignal::NotReached);
  }
  this->Load("a", 50);
  EXPECT_EQ(this->Choose(), "a");
  this->question.excluded = { TargetId("a") };
  EXPECT_NE(this->Choose(), "");
}

TEST_F(TargetSelectorTest, EjectedTargetsAreUsedWhenMostAreEjected)
{
  for (const char* id : { "a", "b" }) {
    for (int failure = 0; failure < TargetHealth::kConsecutiveFailures; ++failure) {
      this->health.OnEnd(TargetId(id), HealthSignal::Bad);
    }
  }
  this->Load("c", 50);
  EXPECT_NE(this->Choose(), "c");
}

TEST_F(TargetSelectorTest, RestartClearsCachedPartsAndLoad)
{
  this->question.parts = { SizedPart{ PartKey(1), TokenCount(9000) } };
  this->question.promptTokens = TokenCount(12'000);
  CallLoad lost;
  lost.uncachedTokens = TokenCount(12'000);
  lost.start = Incarnation(1);
  this->picker.OnSent(TargetId("a"), this->question, lost);
  TargetRecord restarted = Target("a", "z");
  restarted.incarnation = Incarnation(2);
  this->picker.OnRestart(restarted);
  EXPECT_EQ(this->picker.UncachedTokens(this->question, TargetId("a")), TokenCount(12'000));
  CallLoad running;
  running.uncachedTokens = TokenCount(5000);
  running.start = Incarnation(2);
  this->picker.OnSent(TargetId("a"), SelectionRequest{}, running);
  // The call to the earlier start ends late; the other one goes on.
  this->picker.OnFirstEvent(TargetId("a"), lost);
  this->picker.OnEnd(TargetId("a"), lost);
  const std::vector<TargetSendsNow> sends = this->picker.TakeSends();
  ASSERT_EQ(sends.size(), 1U);
  EXPECT_EQ(sends.front().requests, 1U);
  EXPECT_EQ(sends.front().unread, TokenCount(5000));
}

// With one host's long prompt known to the others within a millisecond, no call is sent behind it.
TEST_F(TargetSelectorTest, LongPrefillIsReportedAtOnce)
{
  CallLoad work;
  work.uncachedTokens = TokenCount(TargetSelector::kLongPrefill - 1);
  this->picker.OnSent(TargetId("a"), this->question, work);
  EXPECT_FALSE(this->picker.HasUrgentSends());
  work.uncachedTokens = TokenCount(TargetSelector::kLongPrefill);
  this->picker.OnSent(TargetId("a"), this->question, work);
  EXPECT_TRUE(this->picker.HasUrgentSends());
  this->picker.TakeSends();
  EXPECT_FALSE(this->picker.HasUrgentSends());
}

TEST_F(TargetSelectorTest, FirstEventsBehindOtherPrefillsAreNotMeasured)
{
  this->question.model = ModelName("m");
  CallLoad work;
  work.uncachedTokens = TokenCount(10'000);
  work.queuedBehindOthers = true;
  const Duration took = std::chrono::milliseconds(900);
  for (int seen = 0; seen < 20; ++seen) {
    EXPECT_FALSE(this->picker.RecordFirstEvent(TargetId("a"), this->question, work, false, took));
  }
  EXPECT_EQ(this->picker.LatencyModelOf(this->question.model).MillisecondsPerToken(),
            EngineLatencyModel::kDefaultPerToken);
  work.queuedBehindOthers = false;
  for (int seen = 0; seen < 20; ++seen) {
    EXPECT_TRUE(this->picker.RecordFirstEvent(TargetId("a"), this->question, work, false, took));
  }
  EXPECT_NEAR(
    this->picker.LatencyModelOf(this->question.model).MillisecondsPerToken(), 0.084, 0.001);
}

// A part of 12,800 tokens takes 67 ms on the link of its store, and twice that to another zone:
// more than a few requests more or less at the target.
TEST_F(TargetSelectorTest, LongStoredPartDrawsTheCallToTheZoneOfItsStore)
{
  this->targets = { Target("far", "z"), Target("near", "store") };
  this->question.zone = ZoneId("z");
  this->question.promptTokens = TokenCount(14'000);
  this->question.parts = { SizedPart{ PartKey(1), TokenCount(12'800) } };
  this->question.stored = { PartSource{ ZoneId("store"), 67 } };
  this->Load("near", 4);
  EXPECT_EQ(this->Choose(), "near");
  // A short part is no reason to leave the own zone.
  this->question.stored = { PartSource{ ZoneId("store"), 1 } };
  EXPECT_EQ(this->Choose(), "far");
}

// The load: engines that read 38 tokens a millisecond, and prompts of up to 46,000 tokens among
// many short ones. What a prompt waits for is the same whatever its size, so its size is no reason
// to refuse it.
TEST_F(TargetSelectorTest, ExpectedWaitIsIndependentOfPromptLength)
{
  this->question.model = ModelName("m");
  for (int seen = 0; seen < 20; ++seen) {
    CallLoad read;
    read.uncachedTokens = TokenCount(10'000);
    this->picker.RecordFirstEvent(
      TargetId("a"), this->question, read, false, std::chrono::milliseconds(323));
  }
  CallLoad waiting;
  waiting.uncachedTokens = TokenCount(10'000);
  this->picker.OnSent(TargetId("a"), SelectionRequest{}, waiting);
  this->question.promptTokens = TokenCount(300);
  const Duration wait = this->picker.ExpectedWait(this->question, this->targets.front());
  const Duration whole = this->picker.ExpectedFirstEvent(this->question, this->targets.front());
  this->question.promptTokens = TokenCount(46'000);
  EXPECT_EQ(this->picker.ExpectedWait(this->question, this->targets.front()), wait);
  EXPECT_GT(this->picker.ExpectedFirstEvent(this->question, this->targets.front()), whole);
  // 10,000 tokens at the learnt pace, a little longer as others get their tokens in between.
  EXPECT_NEAR(std::chrono::duration<double>(wait).count(), 0.368, 0.02);
}

// Engines of few slots under short prompts: the slots are full long before the memory is.
TEST_F(TargetSelectorTest, ExpectedWaitCountsFullSlots)
{
  constexpr int kSlots = 16;
  for (TargetRecord& target : this->targets) {
    target.load.slots = kSlots;
  }
  for (int run = 0; run < 2'000; ++run) {
    this->picker.NoteRun(this->question.model, std::chrono::milliseconds(320));
  }
  this->Load("a", kSlots - 1);
  const TargetRecord& target = this->targets.front();
  EXPECT_EQ(this->picker.ExpectedWait(this->question, target), Duration(0));
  // Of 16 requests of 320 ms one ends each 20 ms; 17 are to end before this one begins.
  this->Load("a", kSlots + 1);
  EXPECT_GE(this->picker.ExpectedWait(this->question, target), std::chrono::milliseconds(340));
  // It is passed over for one that has run less, whose prompts are still to be read.
  CallLoad reading;
  reading.uncachedTokens = TokenCount(12'000);
  this->picker.OnSent(TargetId("b"), SelectionRequest{}, reading);
  this->targets.pop_back();
  EXPECT_EQ(this->Choose(), "b");
}

TEST_F(TargetSelectorTest, UnknownSlotsAddNoWait)
{
  this->Load("a", 500);
  EXPECT_EQ(this->picker.ExpectedWait(this->question, this->targets.front()), Duration(0));
}

// A hundred targets in five zones, all about as full: a fifth is near.
TEST_F(TargetSelectorTest, MostPromptsStayInTheirZoneAmongManyTargets)
{
  this->targets.clear();
  for (int number = 0; number < 100; ++number) {
    this->targets.push_back(Target("t" + std::to_string(number), "z" + std::to_string(number % 5)));
  }
  this->question.zone = ZoneId("z0");
  int near = 0;
  for (int call = 0; call < 200; ++call) {
    near += this->picker.Choose(this->question, this->targets)->zone == ZoneId("z0") ? 1 : 0;
  }
  EXPECT_GT(near, 180);
  // The own zone is full: calls leave it.
  for (const TargetRecord& target : this->targets) {
    if (target.zone == ZoneId("z0")) {
      this->Load(target.id.Value(), 20);
    }
  }
  EXPECT_NE(this->picker.Choose(this->question, this->targets)->zone, ZoneId("z0"));
}

// The pattern: targets that have just started bear little, and nearly all others are full.
TEST_F(TargetSelectorTest, CompareAllFindsTheOnlyTargetWithFreeMemory)
{
  this->question.cacheTokens = TokenCount(1000);
  this->targets.clear();
  CallLoad full;
  full.memory = TokenCount(1000);
  for (int index = 0; index < 60; ++index) {
    this->targets.push_back(Target("t" + std::to_string(index), "z"));
    if (index != 37) {
      this->picker.OnSent(this->targets.back().id, SelectionRequest{}, full);
    }
  }
  this->question.compareAll = true;
  for (int call = 0; call < 20; ++call) {
    EXPECT_EQ(this->Choose(), "t37");
  }
}

} // namespace
} // namespace damasklink
