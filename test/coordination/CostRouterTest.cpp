#include "damasklink/coordination/CostRouter.h"

#include <set>

#include <gtest/gtest.h>

#include "damasklink/coordination/BlockNames.h"
#include "damasklink/state/Digests.h"
#include "damasklink/state/Text.h"
#include "damasklink/state/Units.h"

namespace damasklink {
namespace {

using std::chrono::milliseconds;

const ModelName kModel("plates-7b");
const WeightVersion kVersion("v1");
constexpr std::uint64_t kPromptBlocks = 32;

class CostRouterTest : public testing::Test
{
protected:
  static TargetRecord Target(int aNumber)
  {
    TargetRecord target;
    target.id = TargetId(Concat("engine-", aNumber));
    target.incarnation = Incarnation(1);
    target.sequence = Sequence(1);
    target.models = { { kModel, kVersion, {} } };
    target.rates.prefillTokensPerSecond = 1000;
    return target;
  }

  static std::vector<TargetRecord> Targets(int aCount)
  {
    std::vector<TargetRecord> targets;
    for (int number = 0; number < aCount; ++number) {
      targets.push_back(Target(number));
    }
    return targets;
  }

  static RouteRequest Prompt(const std::string& aText)
  {
    RouteRequest request;
    request.model = kModel;
    request.grants = { { kModel, {} } };
    request.blocksVersion = kVersion;
    request.promptTokens = TokenCount(kPromptBlocks * kBlockTokens);
    for (std::uint64_t number = 0; number < kPromptBlocks; ++number) {
      request.blocks.push_back(DigestOf(Concat(aText, number)));
    }
    return request;
  }

  RouteDecision Send(CostRouter& aRouter,
                     const RouteRequest& aRequest,
                     const std::vector<TargetRecord>& aTargets)
  {
    auto chosen = aRouter.Choose(aRequest, aTargets);
    aRouter.OnSent(aRequest, chosen.value());
    return chosen.value();
  }

  ManualClock clock;
  CostRouter router{ this->clock, CostRouterOptions() };
};

TEST_F(CostRouterTest, RepeatedPromptReturnsToItsTarget)
{
  const auto targets = Targets(18);
  const RouteDecision first = this->Send(this->router, Prompt("a"), targets);
  this->router.OnFirstToken(Prompt("a"), first, milliseconds(2048), TokenCount());
  this->router.OnDone(Prompt("a"), first, true);
  this->clock.Advance(std::chrono::minutes(10));
  const auto again = this->router.Choose(Prompt("a"), targets);
  EXPECT_EQ(again.value().target, first.target);
  EXPECT_EQ(again.value().expectedPrefill, TokenCount(0));
}

TEST_F(CostRouterTest, PromptLeavesItsHolderWhenWaitingCostsMoreThanRecomputing)
{
  auto targets = Targets(3);
  const RouteDecision first = this->Send(this->router, Prompt("a"), targets);
  this->clock.Advance(std::chrono::seconds(20));
  for (TargetRecord& target : targets) {
    target.sequence = Sequence(2);
    target.load.queuedPrefill = TokenCount(target.id == first.target ? 50'000 : 0);
  }
  EXPECT_NE(this->router.Choose(Prompt("a"), targets).value().target, first.target);
}

TEST_F(CostRouterTest, RecomputeWeightKeepsThePromptOnItsHolder)
{
  auto targets = Targets(3);
  const RouteDecision first = this->Send(this->router, Prompt("a"), targets);
  this->clock.Advance(std::chrono::seconds(20));
  for (TargetRecord& target : targets) {
    target.sequence = Sequence(2);
    target.load.queuedPrefill = TokenCount(target.id == first.target ? 6'000 : 0);
  }
  RouteRequest recomputeAverse = Prompt("a");
  recomputeAverse.objective = { 0.1, 1.0, 0.0 };
  EXPECT_EQ(this->router.Choose(recomputeAverse, targets).value().target, first.target);
  EXPECT_NE(this->router.Choose(Prompt("a"), targets).value().target, first.target);
}

TEST_F(CostRouterTest, HotPrefixSpreadsOverTargets)
{
  const auto targets = Targets(6);
  std::set<TargetId> used;
  for (int number = 0; number < 60; ++number) {
    RouteRequest prompt = Prompt("hot");
    // Each prompt continues in its own way, which must be computed.
    prompt.promptTokens = TokenCount(prompt.promptTokens.Value() + 1500);
    used.insert(this->Send(this->router, prompt, targets).target);
  }
  EXPECT_EQ(used.size(), targets.size());
}

TEST_F(CostRouterTest, ColdPrefixStaysOnOneTarget)
{
  const auto targets = Targets(6);
  std::set<TargetId> used;
  for (int number = 0; number < 10; ++number) {
    const RouteDecision sent = this->Send(this->router, Prompt("cold"), targets);
    used.insert(sent.target);
    this->clock.Advance(std::chrono::seconds(30));
    this->router.OnFirstToken(Prompt("cold"), sent, milliseconds(2100), TokenCount());
    this->router.OnDone(Prompt("cold"), sent, true);
  }
  EXPECT_EQ(used.size(), 1U);
}

TEST_F(CostRouterTest, OwnSendsCountUntilTheFirstToken)
{
  const auto targets = Targets(4);
  std::set<TargetId> used;
  for (const char* text : { "a", "b", "c", "d" }) {
    used.insert(this->Send(this->router, Prompt(text), targets).target);
  }
  EXPECT_EQ(used.size(), 4U);
}

TEST_F(CostRouterTest, OwnSendsCountWhenAReportOmitsThem)
{
  auto targets = Targets(2);
  CostRouterOptions options;
  options.useCaches = false;
  CostRouter withoutCaches(this->clock, options);
  const TargetId busy = this->Send(withoutCaches, Prompt("a"), targets).target;
  this->clock.Advance(std::chrono::seconds(1));
  for (TargetRecord& target : targets) {
    target.sequence = Sequence(2);
  }
  EXPECT_NE(withoutCaches.Choose(Prompt("a"), targets).value().target, busy);
}

TEST_F(CostRouterTest, AnsweredSendsOccupyTheirSlotsUntilReported)
{
  auto targets = Targets(2);
  for (TargetRecord& target : targets) {
    target.load.slots = 1;
  }
  CostRouterOptions options;
  options.useCaches = false;
  CostRouter withoutCaches(this->clock, options);
  RouteDecision sent = this->Send(withoutCaches, Prompt("a"), targets);
  withoutCaches.OnFirstToken(Prompt("a"), sent, milliseconds(2048), TokenCount());
  this->clock.Advance(std::chrono::seconds(60));
  withoutCaches.OnDone(Prompt("a"), sent, true);
  for (TargetRecord& target : targets) {
    target.sequence = Sequence(2);
  }
  sent = this->Send(withoutCaches, Prompt("a"), targets);
  withoutCaches.OnFirstToken(Prompt("a"), sent, milliseconds(2048), TokenCount());
  EXPECT_NE(withoutCaches.Choose(Prompt("a"), targets).value().target, sent.target);
}

TEST_F(CostRouterTest, HostsWithTheSameReportSpreadTheirPrompts)
{
  const auto targets = Targets(18);
  std::map<TargetId, int> counts;
  constexpr int kHosts = 9;
  for (int host = 0; host < kHosts; ++host) {
    CostRouter other(this->clock, CostRouterOptions());
    ++counts[this->Send(other, Prompt(Concat("host ", host)), targets).target];
  }
  for (const auto& [target, count] : counts) {
    EXPECT_LE(count, 3) << target;
  }
}

TEST_F(CostRouterTest, PeerSendsCountUntilReported)
{
  auto targets = Targets(2);
  ASSERT_TRUE(this->router.Choose(Prompt("a"), targets));
  const TargetId busy = this->router.Choose(Prompt("a"), targets).value().target;
  this->router.OnPeerSends({ { busy, 5, TokenCount(9000) } });
  EXPECT_NE(this->router.Choose(Prompt("a"), targets).value().target, busy);
  this->clock.Advance(std::chrono::seconds(1));
  for (TargetRecord& target : targets) {
    target.sequence = Sequence(2);
  }
  EXPECT_EQ(this->router.Choose(Prompt("a"), targets).value().target, busy);
}

TEST_F(CostRouterTest, EachSendIsReportedToPeersOnce)
{
  const RouteDecision sent = this->Send(this->router, Prompt("a"), Targets(2));
  const std::vector<TargetSendsDelta> expected{ { sent.target, 1, sent.expectedPrefill } };
  EXPECT_EQ(this->router.TakeSends(), expected);
  EXPECT_TRUE(this->router.TakeSends().empty());
}

TEST_F(CostRouterTest, LearntRateReplacesTheDeclaredOne)
{
  const auto targets = Targets(1);
  for (int number = 0; number < 40; ++number) {
    const RouteRequest prompt = Prompt(Concat("p", number));
    const RouteDecision sent = this->Send(this->router, prompt, targets);
    this->clock.Advance(milliseconds(4096));
    this->router.OnFirstToken(prompt, sent, milliseconds(4096), TokenCount());
    this->router.OnDone(prompt, sent, true);
    if (number == 3) {
      EXPECT_EQ(this->router.PrefillRate(targets.front().id), 1000);
    }
  }
  EXPECT_NEAR(this->router.PrefillRate(targets.front().id), 500, 50);
}

TEST_F(CostRouterTest, ImportsWhenTheLinkIsFasterThanComputing)
{
  RouteRequest prompt = Prompt("kept");
  StoredPrefix stored{
    StoreId("store-1"), kPromptBlocks, prompt.promptTokens, ByteCount(kMebibyte), 0
  };
  stored.freeBytesPerSecond = 10.0 * kMebibyte;
  prompt.stored = { stored };
  const RouteDecision fast = this->router.Choose(prompt, Targets(2)).value();
  EXPECT_EQ(fast.importFrom, stored.store);
  EXPECT_EQ(fast.importBlocks, kPromptBlocks);
  prompt.stored.front().freeBytesPerSecond = 0.1 * kMebibyte;
  EXPECT_TRUE(this->router.Choose(prompt, Targets(2)).value().importFrom.Empty());
}

TEST_F(CostRouterTest, BlocksOfAnotherVersionAreIgnored)
{
  RouteRequest prompt = Prompt("kept");
  prompt.stored = { { StoreId("store-1"), kPromptBlocks, prompt.promptTokens, ByteCount(1), 1e9 } };
  auto targets = Targets(1);
  targets.front().models.front().version = WeightVersion("v2");
  this->router.Caches().OnSent(targets.front().id, prompt.blocks);
  const RouteDecision chosen = this->router.Choose(prompt, targets).value();
  EXPECT_TRUE(chosen.importFrom.Empty());
  EXPECT_EQ(chosen.expectedPrefill, prompt.promptTokens);
}

TEST_F(CostRouterTest, RolesAreRespected)
{
  auto targets = Targets(2);
  targets[0].role = TargetRole::Decode;
  targets[1].role = TargetRole::Prefill;
  RouteRequest prompt = Prompt("a");
  EXPECT_EQ(this->router.Choose(prompt, targets).value().target, targets[1].id);
  prompt.continuation = true;
  EXPECT_EQ(this->router.Choose(prompt, targets).value().target, targets[0].id);
}

TEST_F(CostRouterTest, ChangesOfServedModelsAreApplied)
{
  auto targets = Targets(1);
  ASSERT_TRUE(this->router.Choose(Prompt("a"), targets));
  targets.front().sequence = Sequence(2);
  targets.front().models.clear();
  EXPECT_EQ(this->router.Choose(Prompt("a"), targets).error().kind, ErrorKind::Unavailable);
}

TEST_F(CostRouterTest, ExcludedTargetsAreLeftOut)
{
  const auto targets = Targets(2);
  RouteRequest prompt = Prompt("a");
  prompt.excluded = { targets[0].id };
  EXPECT_EQ(this->router.Choose(prompt, targets).value().target, targets[1].id);
}

} // namespace
} // namespace damasklink
