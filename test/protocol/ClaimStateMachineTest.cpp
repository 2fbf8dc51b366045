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

// Simulates a claims group, the attempts that claim keys, and the faults that may occur between
// them. An attempt that is granted its claim may run; the runs of each key are counted.
class ClaimSimulation
{
public:
  enum class Step
  {
    Arrive,       // A call arrives at some host, which sends a claim under a new attempt.
    Deliver,      // One of the commands in flight reaches the group; the reply is delivered.
    LoseReply,    // The same, but the reply is lost.
    Duplicate,    // A command in flight is duplicated.
    Resend,       // An attempt without a reply sends its claim again.
    GiveUp,       // An attempt without a reply refuses its call and releases the claim.
    Crash,        // The host of an attempt without a reply crashes.
    Restart,      // All replicas restart from a snapshot.
    LoseAllDisks, // All replicas lose their disks and the group is formed again.
    Wait,         // Time passes.
    Count,
  };

  void Do(Step aStep, std::size_t aPick)
  {
    switch (aStep) {
      case Step::Arrive:
        return this->Arrive(static_cast<int>(aPick % 2));
      case Step::Deliver:
        return this->Deliver(aPick, true);
      case Step::LoseReply:
        return this->Deliver(aPick, false);
      case Step::Duplicate:
        if (!this->inFlight.empty()) {
          this->inFlight.push_back(this->inFlight[aPick % this->inFlight.size()]);
        }
        return;
      case Step::Restart:
        return this->Restart();
      case Step::LoseAllDisks:
        return this->LoseAllDisks(aPick);
      case Step::Wait:
        this->context.proposedAt += seconds(aPick % 50 == 0 ? 50 * 3600 : 20);
        return;
      default:
        return this->DoForWaitingAttempt(aStep, aPick);
    }
  }

  int MaxRunsOfAKey() const
  {
    int maxRuns = 0;
    for (const auto& [key, count] : this->runs) {
      maxRuns = std::max(maxRuns, count);
    }
    return maxRuns;
  }

private:
  void Arrive(int aKey)
  {
    ClaimCommand claim = MakeCommand(aKey, ++this->lastAttempt);
    this->waiting[claim.attempt] = claim;
    this->inFlight.push_back(claim);
  }

  void Deliver(std::size_t aPick, bool aAnswered)
  {
    if (this->inFlight.empty()) {
      return;
    }
    const auto at = this->inFlight.begin() + static_cast<long>(aPick % this->inFlight.size());
    const ClaimCommand command = *at;
    this->inFlight.erase(at);
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

  // The granted attempt runs and then finishes, crashes or breaks off, or it releases the claim
  // without a run.
  void Run(ClaimCommand aCommand, std::size_t aPick)
  {
    constexpr std::size_t kOutcomes = 4;
    const std::size_t outcome = (aPick / 3) % kOutcomes;
    if (outcome == 3) {
      aCommand.verb = ClaimVerb::Release;
      this->inFlight.push_back(aCommand);
      return;
    }
    ++this->runs[aCommand.key];
    if (outcome != 0) {
      aCommand.verb = outcome == 1 ? ClaimVerb::Finish : ClaimVerb::Abandon;
      this->inFlight.push_back(aCommand);
    }
  }

  // A step of an attempt that has no reply yet.
  void DoForWaitingAttempt(Step aStep, std::size_t aPick)
  {
    if (this->waiting.empty()) {
      return;
    }
    const auto at = std::next(this->waiting.begin(), static_cast<long>(aPick % waiting.size()));
    ClaimCommand command = at->second;
    if (aStep == Step::Resend) {
      this->inFlight.push_back(command);
      return;
    }
    this->waiting.erase(at);
    if (aStep == Step::GiveUp) {
      command.verb = ClaimVerb::Release;
      this->inFlight.push_back(command);
    }
  }

  // Done for one pick in ten only, because few claims are granted after it.
  void LoseAllDisks(std::size_t aPick)
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
  std::vector<ClaimCommand> inFlight;
  std::map<AttemptId, ClaimCommand> waiting;
  std::map<IdempotencyKey, int> runs;
  int lastAttempt = 0;
};

RC_GTEST_PROP(ClaimStateMachineProperty, NoKeyRunsTwiceInAnySchedule, ())
{
  ClaimSimulation simulation;
  // The nominal size from the first case on: at small sizes, inRange() gives only the first kinds
  // of step.
  const auto steps = *rc::gen::resize(
    rc::kNominalSize,
    rc::gen::container<std::vector<std::pair<int, std::size_t>>>(
      150,
      rc::gen::pair(rc::gen::inRange(0, static_cast<int>(ClaimSimulation::Step::Count)),
                    rc::gen::inRange<std::size_t>(0, 1000))));
  for (const auto& [step, pick] : steps) {
    simulation.Do(static_cast<ClaimSimulation::Step>(step), pick);
  }
  RC_ASSERT(simulation.MaxRunsOfAKey() <= 1);
}

// Replicas that apply the same commands have the same state, also after loading a snapshot.
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
