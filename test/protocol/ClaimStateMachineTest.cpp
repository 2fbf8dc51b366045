#include "damasklink/protocol/ClaimStateMachine.h"

#include <set>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace damasklink {
namespace {

using std::chrono::hours;
using std::chrono::seconds;

const WallTime kStart(hours(500'000));

ClaimCommand
MakeCommand(int aKey, int aAttempt)
{
  ClaimCommand command;
  command.workspace = WorkspaceId("head-office");
  command.key = IdempotencyKey("key-" + std::to_string(aKey));
  command.attempt = AttemptId("attempt-" + std::to_string(aAttempt));
  command.body = Digest("body");
  command.createdAt = kStart;
  command.retention = hours(48);
  command.lease = seconds(30);
  command.answer = KeptAnswer{ 200, "text/plain", "done" };
  return command;
}

TEST(ClaimStateMachineTest, RoundTripsCommand)
{
  const ClaimCommand command = MakeCommand(1, 2);
  EXPECT_EQ(DecodeClaimCommand(EncodeClaimCommand(command)).value(), command);
}

TEST(ClaimStateMachineTest, RejectsUndecodableCommandAndSnapshot)
{
  ClaimStateMachine machine;
  const ApplyContext context{
    GroupId("claims/n"), LogIndex(1), Term(1), kStart, Incarnation(1), {}
  };
  machine.Apply(context, "garbage");
  EXPECT_EQ(machine.Claims().Size(), 0U);
  EXPECT_FALSE(machine.Load("garbage"));
}

// One group, its claimants and everything that may go wrong between them. What a claimant has
// been granted it may run, and each run is counted.
class ClaimSimulation
{
public:
  enum class Step
  {
    Arrive,      // A call comes, at any host: a claim goes out under a new attempt.
    Deliver,     // A command under way reaches the group, in any order; the answer comes back.
    DeliverOnly, // The same, but the answer gets lost.
    Double,      // A command under way is doubled.
    Ask,         // A claimant without an answer asks again under the same attempt.
    GiveUp,      // A claimant without an answer refuses its call and releases.
    Crash,       // A claimant's host dies.
    Restart,     // All replicas restart from a snapshot.
    LoseAll,     // All disks are lost and the group is formed anew.
    Wait,        // Time passes.
    Count,
  };

  void Do(Step aStep, std::size_t aPick)
  {
    switch (aStep) {
      case Step::Arrive:
        return this->Arrive(static_cast<int>(aPick % 2));
      case Step::Deliver:
        return this->Deliver(aPick, true);
      case Step::DeliverOnly:
        return this->Deliver(aPick, false);
      case Step::Double:
        if (!this->underWay.empty()) {
          this->underWay.push_back(this->underWay[aPick % this->underWay.size()]);
        }
        return;
      case Step::Restart:
        return this->Restart();
      case Step::LoseAll:
        return this->LoseAll(aPick);
      case Step::Wait:
        this->context.proposedAt += seconds(aPick % 50 == 0 ? 50 * 3600 : 20);
        return;
      default:
        return this->Act(aStep, aPick);
    }
  }

  int MaxRunsOfAKey() const
  {
    int most = 0;
    for (const auto& [key, count] : this->runs) {
      most = std::max(most, count);
    }
    return most;
  }

private:
  void Arrive(int aKey)
  {
    ClaimCommand claim = MakeCommand(aKey, ++this->lastAttempt);
    this->waiting[claim.attempt] = claim;
    this->underWay.push_back(claim);
  }

  void Deliver(std::size_t aPick, bool aAnswered)
  {
    if (this->underWay.empty()) {
      return;
    }
    const auto at = this->underWay.begin() + static_cast<long>(aPick % this->underWay.size());
    const ClaimCommand command = *at;
    this->underWay.erase(at);
    this->context.index = this->context.index.Next();
    const auto bytes = this->machine->Apply(this->context, EncodeClaimCommand(command));
    const auto reply = DecodeClaimReply(bytes);
    const auto found = this->waiting.find(command.attempt);
    if (!aAnswered || command.verb != ClaimVerb::Claim || found == this->waiting.end()) {
      return;
    }
    this->waiting.erase(found);
    if (reply.value().verdict == ClaimVerdict::Granted) {
      this->Run(command, aPick);
    }
  }

  // The claimant runs and finishes, runs and dies, runs and breaks off, or runs nothing.
  void Run(ClaimCommand aCommand, std::size_t aPick)
  {
    constexpr std::size_t kEnds = 4;
    const std::size_t way = (aPick / 3) % kEnds;
    if (way == 3) {
      aCommand.verb = ClaimVerb::Release;
      this->underWay.push_back(aCommand);
      return;
    }
    ++this->runs[aCommand.key];
    if (way != 0) {
      aCommand.verb = way == 1 ? ClaimVerb::Finish : ClaimVerb::Abandon;
      this->underWay.push_back(aCommand);
    }
  }

  void Act(Step aStep, std::size_t aPick)
  {
    if (this->waiting.empty()) {
      return;
    }
    const auto at = std::next(this->waiting.begin(), static_cast<long>(aPick % waiting.size()));
    ClaimCommand command = at->second;
    if (aStep == Step::Ask) {
      this->underWay.push_back(command);
      return;
    }
    this->waiting.erase(at);
    if (aStep == Step::GiveUp) {
      command.verb = ClaimVerb::Release;
      this->underWay.push_back(command);
    }
  }

  // Rare, as hardly anything is granted afterwards.
  void LoseAll(std::size_t aPick)
  {
    if (aPick % 10 == 0) {
      this->machine = std::make_unique<ClaimStateMachine>();
      this->context.incarnation = this->context.incarnation.Next();
    }
  }

  void Restart()
  {
    auto fresh = std::make_unique<ClaimStateMachine>();
    ASSERT_TRUE(fresh->Load(this->machine->Save()));
    this->machine = std::move(fresh);
  }

  std::unique_ptr<ClaimStateMachine> machine = std::make_unique<ClaimStateMachine>();
  ApplyContext context{ GroupId("claims/n"), LogIndex(1), Term(1), kStart, Incarnation(1), {} };
  std::vector<ClaimCommand> underWay;
  std::map<AttemptId, ClaimCommand> waiting;
  std::map<IdempotencyKey, int> runs;
  int lastAttempt = 0;
};

RC_GTEST_PROP(ClaimStateMachineProperty, NoKeyRunsTwiceInAnySchedule, ())
{
  ClaimSimulation world;
  // Full size from the first case on, or the early cases hold only the first few kinds of step.
  const auto steps = *rc::gen::resize(
    rc::kNominalSize,
    rc::gen::container<std::vector<std::pair<int, std::size_t>>>(
      150,
      rc::gen::pair(rc::gen::inRange(0, static_cast<int>(ClaimSimulation::Step::Count)),
                    rc::gen::inRange<std::size_t>(0, 1000))));
  for (const auto& [step, pick] : steps) {
    world.Do(static_cast<ClaimSimulation::Step>(step), pick);
  }
  RC_ASSERT(world.MaxRunsOfAKey() <= 1);
}

// Replicas that apply the same commands hold the same state, also through a snapshot.
RC_GTEST_PROP(ClaimStateMachineProperty, SnapshotRestoresFullState, ())
{
  ClaimStateMachine left;
  ClaimStateMachine right;
  ApplyContext context{ GroupId("claims/n"), LogIndex(1), Term(1), kStart, Incarnation(1), {} };
  const auto picks = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000));
  for (const int pick : picks) {
    ClaimCommand command = MakeCommand(pick % 5, pick / 5 % 3);
    command.verb = static_cast<ClaimVerb>(1 + pick / 15 % 4);
    context.index = context.index.Next();
    context.proposedAt += seconds(pick * 20);
    const std::string bytes = EncodeClaimCommand(command);
    RC_ASSERT(left.Apply(context, bytes) == right.Apply(context, bytes));
    ClaimStateMachine reloaded;
    RC_ASSERT(bool(reloaded.Load(right.Save())));
    RC_ASSERT(reloaded.Save() == left.Save());
    RC_ASSERT(bool(right.Load(left.Save())));
  }
}

} // namespace
} // namespace damasklink
