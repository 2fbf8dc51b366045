#include "damasklink/coordination/TargetSelector.h"

#include <map>
#include <set>
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
  // The tests use calls with a prompt unless they set promptTokens to zero.
  TargetSelectorTest() { this->request.promptTokens = TokenCount(1); }

  std::string Choose()
  {
    const TargetRecord* chosen = this->picker.Choose(this->request, this->targets);
    return chosen == nullptr ? "" : chosen->id.Value();
  }

  void AddRequests(const std::string& aId, int aRequests)
  {
    for (int index = 0; index < aRequests; ++index) {
      this->picker.OnSent(TargetId(aId), SelectionRequest{}, CallLoad{});
    }
  }

  ManualClock clock;
  TargetHealth health{ this->clock, 1 };
  ZoneReachability reach{ this->clock, 1 };
  TargetRestPeriods rests{ this->clock };
  TargetSelector picker{ this->health, this->reach, this->rests, 1 };
  SelectionRequest request;
  std::vector<TargetRecord> targets{ Target("a", "z"), Target("b", "z"), Target("c", "z") };
};

TEST_F(TargetSelectorTest, LeastLoadedTargetIsChosen)
{
  this->AddRequests("a", 3);
  this->AddRequests("c", 2);
  EXPECT_EQ(this->Choose(), "b");
}

TEST_F(TargetSelectorTest, FittingTargetOfLeastCostIsChosen)
{
  this->AddRequests("b", 1);
  const auto fits = [](const TargetRecord& aTarget) { return aTarget.id != TargetId("a"); };
  EXPECT_EQ(this->picker.ChooseFitting(this->request, this->targets, fits)->id, TargetId("c"));
  const auto none = [](const TargetRecord& /*aTarget*/) { return false; };
  EXPECT_EQ(this->picker.ChooseFitting(this->request, this->targets, none), nullptr);
}

TEST_F(TargetSelectorTest, FittingTargetOfThisZoneComesFirst)
{
  this->request.zone = ZoneId("y");
  this->targets.push_back(Target("near", "y"));
  this->AddRequests("near", 5);
  const auto all = [](const TargetRecord& /*aTarget*/) { return true; };
  EXPECT_EQ(this->picker.ChooseFitting(this->request, this->targets, all)->id, TargetId("near"));
}

// Load: engines with free slots whose memory is full, and engines with memory but no slots.
TEST_F(TargetSelectorTest, ServiceIsCrowdedWhenMostTargetsLackMemoryOrSlots)
{
  constexpr TokenCount kMemory(1000);
  for (TargetRecord& target : this->targets) {
    target.load.slots = 10;
  }
  EXPECT_FALSE(this->picker.IsCrowded(this->targets, kMemory));
  CallLoad large;
  large.memory = TokenCount(700);
  this->picker.OnSent(TargetId("a"), SelectionRequest{}, large);
  EXPECT_FALSE(this->picker.IsCrowded(this->targets, kMemory));
  this->AddRequests("b", 7);
  EXPECT_TRUE(this->picker.IsCrowded(this->targets, kMemory));
  this->picker.OnEnd(TargetId("a"), large);
  EXPECT_FALSE(this->picker.IsCrowded(this->targets, kMemory));
}

// Many targets in two availability zones; this host is in the first one.
class TargetSelectorZoneTest : public TargetSelectorTest
{
protected:
  static constexpr std::size_t kPerZone = 200;
  static constexpr std::uint64_t kSlots = 16;
  static constexpr int kCalls = 200;

  TargetSelectorZoneTest()
  {
    this->request.zone = ZoneId("own");
    this->targets.clear();
    for (const std::string zone : { "other", "own" }) {
      for (std::size_t number = 0; number < kPerZone; ++number) {
        TargetRecord& target =
          this->targets.emplace_back(Target(zone + std::to_string(number), zone));
        target.load.slots = kSlots;
      }
    }
  }

  // Fills the zone's targets with requests.
  void FillOwnZone(int aRequests)
  {
    for (std::size_t number = 0; number < kPerZone; ++number) {
      this->AddRequests("own" + std::to_string(number), aRequests);
    }
  }

  int CountOutsideOwnZone()
  {
    int outside = 0;
    for (int call = 0; call < kCalls; ++call) {
      outside += this->Choose().starts_with("own") ? 0 : 1;
    }
    return outside;
  }
};

// Guards against calls that break off when the link between zones is lost, although a target of
// their own zone was idle.
TEST_F(TargetSelectorZoneTest, CallsStayInTheirZoneWhileItIsLightlyLoaded)
{
  // Parts in a store of the other zone are fetched faster there.
  this->request.parts = { SizedPart{ PartKey(1), TokenCount(1) } };
  this->request.stored = { PartSource{ ZoneId("other"), 20 } };
  EXPECT_EQ(this->CountOutsideOwnZone(), 0);
  this->request.promptTokens = TokenCount();
  EXPECT_EQ(this->CountOutsideOwnZone(), 0);
}

TEST_F(TargetSelectorZoneTest, CallsLeaveAZoneThatIsLoaded)
{
  this->FillOwnZone(static_cast<int>(kSlots));
  EXPECT_GT(this->CountOutsideOwnZone(), kCalls / 2);
  this->request.promptTokens = TokenCount();
  EXPECT_GT(this->CountOutsideOwnZone(), kCalls / 4);
}

TEST_F(TargetSelectorZoneTest, TargetOfAnotherZoneThatHasAllPartsIsChosen)
{
  this->request.promptTokens = TokenCount(9'000);
  this->request.parts = { SizedPart{ PartKey(1), TokenCount(9'000) } };
  this->picker.OnSent(TargetId("other3"), this->request, CallLoad{});
  this->picker.OnEnd(TargetId("other3"), CallLoad{});
  EXPECT_EQ(this->Choose(), "other3");
}

// Guards against calls that spread over all idle targets of a large zone, each of which then has to
// read the part that all these prompts begin with.
TEST_F(TargetSelectorZoneTest, FewTargetsGetTheCommonPartsWhileTheyAreLightlyLoaded)
{
  this->request.promptTokens = TokenCount(900);
  std::set<std::string> used;
  for (std::uint64_t call = 0; call < kCalls; ++call) {
    this->request.parts = { SizedPart{ PartKey(1), TokenCount(500) },
                            SizedPart{ PartKey(100 + call), TokenCount(300) } };
    const std::string chosen = this->Choose();
    used.insert(chosen);
    this->picker.OnSent(TargetId(chosen), this->request, CallLoad{});
    this->picker.OnEnd(TargetId(chosen), CallLoad{});
  }
  EXPECT_LE(used.size(), kPerZone / 10);
}

TEST_F(TargetSelectorZoneTest, OtherTargetsGetTheCommonPartsWhenThoseThatHaveThemAreBusy)
{
  this->request.promptTokens = TokenCount(900);
  this->request.parts = { SizedPart{ PartKey(1), TokenCount(500) } };
  std::set<std::string> used;
  for (std::size_t call = 0; call < kPerZone; ++call) {
    const std::string chosen = this->Choose();
    used.insert(chosen);
    this->picker.OnSent(TargetId(chosen), this->request, CallLoad{});
  }
  EXPECT_GE(used.size(), kPerZone / 8);
}

// Guards against a target of a small zone that gets all calls of that zone's hosts.
TEST_F(TargetSelectorZoneTest, CallsSpreadWhereTheZoneHasFewTargets)
{
  std::erase_if(this->targets, [](const TargetRecord& aTarget) {
    return aTarget.zone == ZoneId("own") && aTarget.id != TargetId("own1");
  });
  this->request.promptTokens = TokenCount();
  EXPECT_GT(this->CountOutsideOwnZone(), kCalls / 2);
}

// Guards against resting targets that are chosen because they look idle, or because all rest.
TEST_F(TargetSelectorTest, RestingTargetIsNeverChosen)
{
  this->AddRequests("b", 3);
  this->AddRequests("c", 2);
  this->rests.OnAsked(TargetId("a"), Incarnation(), std::chrono::seconds(3));
  EXPECT_EQ(this->Choose(), "c");
  for (const char* id : { "b", "c" }) {
    this->rests.OnAsked(TargetId(id), Incarnation(), std::chrono::seconds(5));
  }
  this->health.OnEnd(TargetId("b"), HealthSignal::NotReached);
  this->request.compareAll = true;
  EXPECT_EQ(this->Choose(), "");
  this->request.promptTokens = TokenCount();
  EXPECT_EQ(this->Choose(), "");
  this->clock.Advance(std::chrono::seconds(3));
  EXPECT_EQ(this->Choose(), "a");
}

TEST_F(TargetSelectorTest, CallsWithoutPromptSpreadOverSimilarlyLoadedTargets)
{
  this->request.promptTokens = TokenCount();
  this->AddRequests("a", 2);
  this->AddRequests("c", 3);
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
  this->request.promptTokens = TokenCount();
  this->AddRequests("a", 40);
  this->AddRequests("b", 3);
  this->AddRequests("c", 3);
  int chosen = 0;
  for (int call = 0; call < 300; ++call) {
    chosen += this->Choose() == "a" ? 1 : 0;
  }
  // Both random targets would have to be "a".
  EXPECT_LT(chosen, 60);
}

TEST_F(TargetSelectorTest, EndedRequestsNoLongerCount)
{
  this->AddRequests("a", 3);
  this->AddRequests("b", 1);
  this->AddRequests("c", 3);
  this->picker.OnEnd(TargetId("a"), CallLoad{});
  this->picker.OnEnd(TargetId("a"), CallLoad{});
  this->picker.OnEnd(TargetId("a"), CallLoad{});
  EXPECT_EQ(this->Choose(), "a");
}

TEST_F(TargetSelectorTest, ExcludedTargetsAreNotChosen)
{
  this->request.excluded = { TargetId("a"), TargetId("b") };
  EXPECT_EQ(this->Choose(), "c");
  this->request.excluded.insert(TargetId("c"));
  EXPECT_EQ(this->Choose(), "");
}

TEST_F(TargetSelectorTest, OwnZoneIsPreferredAtEqualLoad)
{
  this->targets = { Target("a", "other"), Target("b", "z"), Target("c", "other") };
  this->request.zone = ZoneId("z");
  EXPECT_EQ(this->Choose(), "b");
}

TEST_F(TargetSelectorTest, TargetWithTheCachedPartIsChosen)
{
  this->request.promptTokens = TokenCount(9000);
  this->request.parts = { SizedPart{ PartKey(1), TokenCount(8000) } };
  this->picker.Held().OnSent(TargetId("c"), this->request.parts);
  EXPECT_EQ(this->Choose(), "c");
  EXPECT_EQ(this->picker.UncachedTokens(this->request, TargetId("c")), TokenCount(1000));
  EXPECT_EQ(this->picker.UncachedTokens(this->request, TargetId("a")), TokenCount(9000));
}

TEST_F(TargetSelectorTest, QueuedPrefillCounts)
{
  SelectionRequest longRequest;
  longRequest.promptTokens = TokenCount(9000);
  CallLoad work;
  work.uncachedTokens = TokenCount(9000);
  this->picker.OnSent(TargetId("a"), longRequest, work);
  this->AddRequests("b", 2);
  this->AddRequests("c", 2);
  EXPECT_NE(this->Choose(), "a");
}

TEST_F(TargetSelectorTest, WeightsBelowTheMinimumAreUsedOnlyWithoutAlternatives)
{
  this->targets[0].models = { ServedModel{ ModelName("m"), WeightVersion("1"), {} } };
  this->targets[1].models = { ServedModel{ ModelName("m"), WeightVersion("2"), {} } };
  this->targets[2].models = { ServedModel{ ModelName("m"), WeightVersion("1"), {} } };
  this->request.promptTokens = TokenCount(100);
  this->request.model = ModelName("m");
  this->request.weights = 2;
  this->AddRequests("b", 100);
  EXPECT_NE(this->Choose(), "b");
  this->request.minWeights = 2;
  EXPECT_EQ(this->Choose(), "b");
  this->targets[1].models.front().version = WeightVersion("1");
  EXPECT_NE(this->Choose(), "");
}

// Guards against calls that begin on weights whose time is over because no target has newer ones.
TEST_F(TargetSelectorTest, WeightsBelowTheMinimumAreNeverUsedWhileNewerOnesAreOnTheirWay)
{
  for (TargetRecord& target : this->targets) {
    target.models = { ServedModel{ ModelName("m"), WeightVersion("1"), {} } };
  }
  this->request.promptTokens = TokenCount(100);
  this->request.model = ModelName("m");
  this->request.weights = 2;
  this->request.minWeights = 2;
  EXPECT_NE(this->Choose(), "");
  this->request.neverBelowMinWeights = true;
  EXPECT_EQ(this->Choose(), "");
  this->targets[1].models.front().version = WeightVersion("2");
  EXPECT_EQ(this->Choose(), "b");
}

TEST_F(TargetSelectorTest, LoadFromOtherHostsCounts)
{
  const InFlightLoad many{ TargetId("a"), 9, TokenCount(), TokenCount(), {} };
  const InFlightLoad some{ TargetId("b"), 5, TokenCount(), TokenCount(), {} };
  this->picker.ApplySum(LoadReport{ HostId("other"), { many, some }, {}, {}, false },
                        this->clock.MonotonicNow());
  EXPECT_EQ(this->Choose(), "c");
  const InFlightLoad none{ TargetId("a"), 0, TokenCount(), TokenCount(), {} };
  this->picker.ApplySum(LoadReport{ HostId("other"), { none }, {}, {}, false },
                        this->clock.MonotonicNow());
  this->AddRequests("c", 3);
  EXPECT_EQ(this->Choose(), "a");
}

TEST_F(TargetSelectorTest, SumsOfSilentControlHostsAreForgotten)
{
  const InFlightLoad many{ TargetId("a"), 9, TokenCount(), TokenCount(), {} };
  this->picker.ApplySum(LoadReport{ HostId("gone"), { many }, {}, {}, false },
                        this->clock.MonotonicNow());
  this->AddRequests("b", 1);
  this->AddRequests("c", 1);
  EXPECT_NE(this->Choose(), "a");
  this->clock.Advance(std::chrono::seconds(3));
  this->picker.RemoveSumsBefore(this->clock.MonotonicNow() - std::chrono::seconds(2));
  EXPECT_EQ(this->Choose(), "a");
}

TEST_F(TargetSelectorTest, OwnLoadInASumIsNotCountedTwice)
{
  this->AddRequests("a", 2);
  this->AddRequests("b", 3);
  this->AddRequests("c", 3);
  this->picker.TakeSends();
  const InFlightLoad sum{ TargetId("a"), 2, TokenCount(), TokenCount(), {} };
  this->picker.ApplySum(LoadReport{ HostId("hub"), { sum }, {}, {}, false },
                        this->clock.MonotonicNow());
  EXPECT_EQ(this->Choose(), "a") << "the load is 2, not 4";
}

TEST_F(TargetSelectorTest, FullReportFollowsAChangeOfControlHost)
{
  this->AddRequests("a", 2);
  this->picker.TakeSends();
  this->picker.ResendAll();
  const auto sends = this->picker.TakeSends();
  ASSERT_EQ(sends.size(), 1U);
  EXPECT_EQ(sends.front().requests, 2U);
}

TEST_F(TargetSelectorTest, SendsAreReportedOnceWithTheirParts)
{
  this->request.parts = { SizedPart{ PartKey(1), TokenCount(800) } };
  this->picker.OnSent(TargetId("a"), this->request, CallLoad{});
  const auto sends = this->picker.TakeSends();
  ASSERT_EQ(sends.size(), 1U);
  EXPECT_EQ(sends.front().requests, 1U);
  EXPECT_EQ(sends.front().parts, this->request.parts);
  EXPECT_TRUE(this->picker.TakeSends().empty());
  this->picker.OnEnd(TargetId("a"), CallLoad{});
  ASSERT_EQ(this->picker.TakeSends().size(), 1U);
}

TEST_F(TargetSelectorTest, TargetWithFullMemoryIsAvoided)
{
  this->request.promptTokens = TokenCount(10'000);
  this->request.cacheTokens = TokenCount(100'000);
  this->request.parts = { SizedPart{ PartKey(1), TokenCount(8000) } };
  this->picker.Held().OnSent(TargetId("a"), this->request.parts);
  EXPECT_EQ(this->Choose(), "a");
  CallLoad longRequest;
  longRequest.memory = TokenCount(95'000);
  this->picker.OnSent(TargetId("a"), SelectionRequest{}, longRequest);
  EXPECT_NE(this->Choose(), "a");
}

TEST_F(TargetSelectorTest, HolderInTheSameZoneIsPreferred)
{
  this->targets = { Target("a", "far"), Target("b", "near"), Target("c", "near") };
  const SizedPart part{ PartKey(1), TokenCount(800) };
  EXPECT_EQ(this->picker.FindHolder(part, this->targets, this->targets[2]), nullptr);
  this->picker.Held().OnSent(TargetId("a"), { part });
  this->picker.Held().OnSent(TargetId("c"), { part });
  EXPECT_EQ(this->picker.FindHolder(part, this->targets, this->targets[2])->id, TargetId("a"));
  this->picker.Held().OnSent(TargetId("b"), { part });
  EXPECT_EQ(this->picker.FindHolder(part, this->targets, this->targets[2])->id, TargetId("b"));
}

TEST_F(TargetSelectorTest, EjectedTargetIsNotChosen)
{
  for (int failure = 0; failure < TargetHealth::kConsecutiveFailures; ++failure) {
    this->health.OnEnd(TargetId("a"), HealthSignal::Bad);
  }
  this->AddRequests("b", 5);
  this->AddRequests("c", 5);
  EXPECT_NE(this->Choose(), "a");
}

TEST_F(TargetSelectorTest, TargetsOfAnUnreachableZoneAreTheLastChoice)
{
  this->targets = { Target("a", "near"), Target("b", "far"), Target("c", "far") };
  for (const char* unreachable : { "b", "c", "d" }) {
    this->reach.OnEnd(ZoneId("far"), TargetId(unreachable), HealthSignal::NotReached);
  }
  this->AddRequests("a", 50);
  EXPECT_EQ(this->Choose(), "a");
  this->request.excluded = { TargetId("a") };
  EXPECT_NE(this->Choose(), "");
}

TEST_F(TargetSelectorTest, EjectedTargetsAreUsedWhenMostAreEjected)
{
  for (const char* id : { "a", "b" }) {
    for (int failure = 0; failure < TargetHealth::kConsecutiveFailures; ++failure) {
      this->health.OnEnd(TargetId(id), HealthSignal::Bad);
    }
  }
  this->AddRequests("c", 50);
  EXPECT_NE(this->Choose(), "c");
}

TEST_F(TargetSelectorTest, RestartClearsCachedPartsAndLoad)
{
  this->request.parts = { SizedPart{ PartKey(1), TokenCount(9000) } };
  this->request.promptTokens = TokenCount(12'000);
  CallLoad lost;
  lost.uncachedTokens = TokenCount(12'000);
  lost.incarnation = Incarnation(1);
  this->picker.OnSent(TargetId("a"), this->request, lost);
  TargetRecord restarted = Target("a", "z");
  restarted.incarnation = Incarnation(2);
  this->picker.OnRestart(restarted);
  EXPECT_EQ(this->picker.UncachedTokens(this->request, TargetId("a")), TokenCount(12'000));
  CallLoad running;
  running.uncachedTokens = TokenCount(5000);
  running.incarnation = Incarnation(2);
  this->picker.OnSent(TargetId("a"), SelectionRequest{}, running);
  // The call to the earlier incarnation ends late and must not affect the running one.
  this->picker.OnFirstEvent(TargetId("a"), lost);
  this->picker.OnEnd(TargetId("a"), lost);
  const std::vector<InFlightLoad> sends = this->picker.TakeSends();
  ASSERT_EQ(sends.size(), 1U);
  EXPECT_EQ(sends.front().requests, 1U);
  EXPECT_EQ(sends.front().unread, TokenCount(5000));
}

// A long prompt that the other hosts learn of within a millisecond gets no calls sent behind it.
TEST_F(TargetSelectorTest, LongPrefillIsReportedAtOnce)
{
  CallLoad work;
  work.uncachedTokens = TokenCount(TargetSelector::kLongPrefill - 1);
  this->picker.OnSent(TargetId("a"), this->request, work);
  EXPECT_FALSE(this->picker.HasUrgentSends());
  work.uncachedTokens = TokenCount(TargetSelector::kLongPrefill);
  this->picker.OnSent(TargetId("a"), this->request, work);
  EXPECT_TRUE(this->picker.HasUrgentSends());
  this->picker.TakeSends();
  EXPECT_FALSE(this->picker.HasUrgentSends());
}

TEST_F(TargetSelectorTest, FirstEventsBehindOtherPrefillsAreNotMeasured)
{
  this->request.model = ModelName("m");
  CallLoad work;
  work.uncachedTokens = TokenCount(10'000);
  work.queuedBehindOthers = true;
  const Duration took = std::chrono::milliseconds(900);
  for (int observation = 0; observation < 20; ++observation) {
    EXPECT_FALSE(this->picker.RecordFirstEvent(TargetId("a"), this->request, work, false, took));
  }
  EXPECT_EQ(this->picker.LatencyModelOf(this->request.model).MillisecondsPerToken(),
            EngineLatencyModel::kDefaultPerToken);
  work.queuedBehindOthers = false;
  for (int observation = 0; observation < 20; ++observation) {
    EXPECT_TRUE(this->picker.RecordFirstEvent(TargetId("a"), this->request, work, false, took));
  }
  EXPECT_NEAR(
    this->picker.LatencyModelOf(this->request.model).MillisecondsPerToken(), 0.084, 0.001);
}

// Transferring a part of 12,800 tokens takes 67 ms within the zone of its store and twice as long
// to another zone: more than a few more requests at the target cost.
TEST_F(TargetSelectorTest, LongStoredPartDrawsTheCallToTheZoneOfItsStore)
{
  this->targets = { Target("far", "z"), Target("near", "store") };
  this->request.zone = ZoneId("z");
  this->request.promptTokens = TokenCount(14'000);
  this->request.parts = { SizedPart{ PartKey(1), TokenCount(12'800) } };
  this->request.stored = { PartSource{ ZoneId("store"), 67 } };
  this->AddRequests("near", 4);
  EXPECT_EQ(this->Choose(), "near");
  // A short part does not justify leaving the own zone.
  this->request.stored = { PartSource{ ZoneId("store"), 1 } };
  EXPECT_EQ(this->Choose(), "far");
}

// Guards against refusing prompts because they are long: engines that prefill 38 tokens a
// millisecond get prompts of up to 46,000 tokens among many short ones, and all of them wait
// equally long.
TEST_F(TargetSelectorTest, ExpectedWaitIsIndependentOfPromptLength)
{
  this->request.model = ModelName("m");
  for (int observation = 0; observation < 20; ++observation) {
    CallLoad read;
    read.uncachedTokens = TokenCount(10'000);
    this->picker.RecordFirstEvent(
      TargetId("a"), this->request, read, false, std::chrono::milliseconds(323));
  }
  CallLoad waiting;
  waiting.uncachedTokens = TokenCount(10'000);
  this->picker.OnSent(TargetId("a"), SelectionRequest{}, waiting);
  this->request.promptTokens = TokenCount(300);
  const Duration wait = this->picker.ExpectedWait(this->request, this->targets.front());
  const Duration firstEvent = this->picker.ExpectedFirstEvent(this->request, this->targets.front());
  this->request.promptTokens = TokenCount(46'000);
  EXPECT_EQ(this->picker.ExpectedWait(this->request, this->targets.front()), wait);
  EXPECT_GT(this->picker.ExpectedFirstEvent(this->request, this->targets.front()), firstEvent);
  // 10,000 tokens at the learnt rate, a little longer because tokens of others are generated
  // meanwhile.
  EXPECT_NEAR(std::chrono::duration<double>(wait).count(), 0.368, 0.02);
}

// With few slots and short prompts, the slots of an engine are full long before its memory is.
TEST_F(TargetSelectorTest, ExpectedWaitCountsFullSlots)
{
  constexpr int kSlots = 16;
  for (TargetRecord& target : this->targets) {
    target.load.slots = kSlots;
  }
  for (int run = 0; run < 2'000; ++run) {
    this->picker.RecordRun(this->request.model, std::chrono::milliseconds(320));
  }
  this->AddRequests("a", kSlots - 1);
  const TargetRecord& target = this->targets.front();
  EXPECT_EQ(this->picker.ExpectedWait(this->request, target), Duration(0));
  // Of 16 requests of 320 ms each, one ends every 20 ms; 17 must end before this one begins.
  this->AddRequests("a", kSlots + 1);
  EXPECT_GE(this->picker.ExpectedWait(this->request, target), std::chrono::milliseconds(340));
  // A target with fewer requests is chosen instead, though a prompt waits for prefill there.
  CallLoad prefill;
  prefill.uncachedTokens = TokenCount(12'000);
  this->picker.OnSent(TargetId("b"), SelectionRequest{}, prefill);
  this->targets.pop_back();
  EXPECT_EQ(this->Choose(), "b");
}

TEST_F(TargetSelectorTest, UnknownSlotsAddNoWait)
{
  this->AddRequests("a", 500);
  EXPECT_EQ(this->picker.ExpectedWait(this->request, this->targets.front()), Duration(0));
}

// A hundred equally loaded targets in five zones, a fifth of them in the host's own zone.
TEST_F(TargetSelectorTest, MostPromptsStayInTheirZoneAmongManyTargets)
{
  this->targets.clear();
  for (int number = 0; number < 100; ++number) {
    this->targets.push_back(Target("t" + std::to_string(number), "z" + std::to_string(number % 5)));
  }
  this->request.zone = ZoneId("z0");
  int sameZone = 0;
  for (int call = 0; call < 200; ++call) {
    sameZone += this->picker.Choose(this->request, this->targets)->zone == ZoneId("z0") ? 1 : 0;
  }
  EXPECT_GT(sameZone, 180);
  // Calls leave the own zone when its targets are loaded.
  for (const TargetRecord& target : this->targets) {
    if (target.zone == ZoneId("z0")) {
      this->AddRequests(target.id.Value(), 20);
    }
  }
  EXPECT_NE(this->picker.Choose(this->request, this->targets)->zone, ZoneId("z0"));
}

// Guards against refusing calls when nearly all targets are full, as after restarts when targets
// take little load: a sample would miss the only one with free memory.
TEST_F(TargetSelectorTest, CompareAllFindsTheOnlyTargetWithFreeMemory)
{
  this->request.cacheTokens = TokenCount(1000);
  this->targets.clear();
  CallLoad full;
  full.memory = TokenCount(1000);
  for (int index = 0; index < 60; ++index) {
    this->targets.push_back(Target("t" + std::to_string(index), "z"));
    if (index != 37) {
      this->picker.OnSent(this->targets.back().id, SelectionRequest{}, full);
    }
  }
  this->request.compareAll = true;
  for (int call = 0; call < 20; ++call) {
    EXPECT_EQ(this->Choose(), "t37");
  }
}

} // namespace
} // namespace damasklink
