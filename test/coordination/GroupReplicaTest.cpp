#include "damasklink/coordination/GroupReplica.h"

#include <iostream>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "support/GroupCluster.h"

namespace damasklink {
namespace {

using testing::GroupCluster;

// One event of a schedule; what the numbers mean depends on the kind.
struct Step
{
  int kind = 0;
  std::size_t node = 0;
  std::size_t number = 0;
};

void
showValue(const Step& aStep, std::ostream& aOut)
{
  aOut << '{' << aStep.kind << ',' << aStep.node << ',' << aStep.number << '}';
}

rc::Gen<std::vector<Step>>
AnySchedule(int aKinds)
{
  const auto step = rc::gen::map(rc::gen::tuple(rc::gen::inRange(0, aKinds),
                                                rc::gen::inRange<std::size_t>(0, 5),
                                                rc::gen::inRange<std::size_t>(0, 64)),
                                 [](const std::tuple<int, std::size_t, std::size_t>& aParts) {
                                   const auto& [kind, node, number] = aParts;
                                   return Step{ kind, node, number };
                                 });
  constexpr double kLonger = 3;
  return rc::gen::scale(kLonger, rc::gen::container<std::vector<Step>>(step));
}

constexpr int kBenignKinds = 8;
constexpr int kAllKinds = 19;

void
Perform(GroupCluster& aCluster, const Step& aStep)
{
  const std::size_t node = aStep.node % aCluster.Size();
  const std::size_t other = aStep.number % aCluster.Size();
  switch (aStep.kind) {
    case 0:
    case 1:
      return aCluster.Run(std::chrono::milliseconds(50 * aStep.number));
    case 2:
    case 3:
      return aCluster.Propose(node);
    case 4:
      return aCluster.Move(aStep.number, GroupCluster::Fate::Deliver);
    case 5:
      return aCluster.Sync(node);
    case 6:
      aCluster.Advance(std::chrono::milliseconds(20 * aStep.number));
      return aCluster.Tick(node);
    case 7:
      return aCluster.Move(aStep.number, GroupCluster::Fate::Repeat);
    case 8:
      return aCluster.Move(aStep.number, GroupCluster::Fate::Drop);
    case 9:
    case 10:
      return aCluster.SetCut(node, other, true);
    case 11:
      return aCluster.HealNetwork();
    case 12:
      aCluster.Node(node).frozen = true;
      return;
    case 13:
      aCluster.Node(node).frozen = false;
      return;
    case 14:
      return aCluster.Kill(node, aStep.number % 2 == 0);
    case 15:
    case 16:
      if (aCluster.Node(node).process == nullptr) {
        aCluster.Start(node);
      }
      return;
    case 17:
      aCluster.Node(node).disk->FailAfter(static_cast<int>(aStep.number % 8) + 1);
      return;
    default:
      for (std::size_t each = 0; each < aCluster.Size(); ++each) {
        aCluster.Kill(each, true);
        aCluster.Start(each);
      }
  }
}

// Checks a property with many more cases than the default.
template<typename Property>
void
CheckOften(int aTimes, Property aProperty)
{
  rc::detail::TestParams params = rc::detail::configuration().testParams;
  params.maxSuccess *= aTimes;
  const auto result = rc::detail::checkTestable(aProperty, rc::detail::TestMetadata(), params);
  std::ostringstream text;
  rc::detail::printResultMessage(result, text);
  EXPECT_TRUE(result.template is<rc::detail::SuccessResult>()) << text.str();
}

TEST(GroupReplicaProperty, NothingAcknowledgedIsLostUnderAnySchedule)
{
  CheckOften(20, [] {
    const auto nodes = *rc::gen::element<std::size_t>(1, 3, 3, 5);
    const auto schedule = *AnySchedule(kAllKinds);
    GroupCluster cluster(nodes, *rc::gen::arbitrary<std::uint64_t>());
    for (const Step& step : schedule) {
      Perform(cluster, step);
    }
    cluster.HealAndCheck();
  });
}

} // namespace
} // namespace damasklink
