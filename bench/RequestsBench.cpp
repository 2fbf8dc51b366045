// Figures of a request's life: admission under overload, retries in an outage, the claim ledger.
#include "Bench.h"

#include <chrono>
#include <fstream>
#include <iostream>
#include <memory>
#include <unistd.h>

#include <absl/strings/str_format.h>

#include "OverloadSimulation.h"
#include "damasklink/coordination/AttemptRecovery.h"
#include "damasklink/coordination/RetryBudget.h"
#include "damasklink/protocol/ClaimStateMachine.h"
#include "damasklink/state/Text.h"

namespace damasklink::bench {
namespace {

constexpr std::uint64_t kSeed = 20261202;
constexpr double kMinute = 60;

std::vector<Workload>
OneWorkload(std::function<double(double)> aRate)
{
  return { Workload{ "office", 1, std::move(aRate) } };
}

using Policy = OverloadSimulation::Policy;

constexpr Policy kPolicies[] = { Policy::Admission, Policy::AdmissionUntold, Policy::None };

std::string_view
PolicyName(Policy aPolicy)
{
  switch (aPolicy) {
    case Policy::Admission:
      return "admission";
    case Policy::AdmissionUntold:
      return "untold slots";
    case Policy::None:
      return "without";
  }
  return "";
}

void
PrintPolicyNames(std::string_view aFirst)
{
  std::cout << aFirst;
  for (const Policy policy : kPolicies) {
    std::cout << absl::StrFormat("  %12s", ForAbsl(PolicyName(policy)));
  }
  std::cout << '\n';
}

void
PrintGoodput()
{
  std::cout << "Goodput as a part of capacity, one minute after one of warming up\n";
  PrintPolicyNames("offered");
  for (const double offered : { 0.5, 0.8, 1.0, 1.5, 2.0, 2.5, 3.0 }) {
    std::cout << absl::StrFormat("%6.1fx", offered);
    for (const Policy policy : kPolicies) {
      OverloadSimulation run(
        policy, OneWorkload([=](double) { return offered * kCapacityPerSecond; }), kSeed);
      run.Run(kWarmUpSeconds + kMinute);
      const double goodput = run.Goodput(kWarmUpSeconds, kWarmUpSeconds + kMinute);
      std::cout << absl::StrFormat("  %12.3f", goodput);
    }
    std::cout << '\n';
  }
}

void
PrintRecovery()
{
  constexpr double kFrom = 40;
  constexpr double kEnd = 240;
  constexpr double kStretch = 10;
  std::cout << "\nGoodput in stretches of 10 s: 0.8x, from 60 s to 120 s 3x, then 0.8x\n";
  PrintPolicyNames("   from");
  const auto rate = [](double aTime) {
    const bool over = aTime >= kWarmUpSeconds && aTime < kWarmUpSeconds + kMinute;
    return (over ? 3.0 : 0.8) * kCapacityPerSecond;
  };
  std::vector<std::unique_ptr<OverloadSimulation>> runs;
  for (const Policy policy : kPolicies) {
    runs.push_back(std::make_unique<OverloadSimulation>(policy, OneWorkload(rate), kSeed));
    runs.back()->Run(kEnd);
  }
  for (double from = kFrom; from < kEnd; from += kStretch) {
    std::cout << absl::StrFormat("%7.0f", from);
    for (const auto& run : runs) {
      std::cout << absl::StrFormat("  %12.3f", run->Goodput(from, from + kStretch));
    }
    std::cout << '\n';
  }
}

// Every attempt fails; each request asks the plan and, with it, the budget.
void
PrintRetries()
{
  constexpr int kRequests = 100'000;
  std::cout << "\nAttempts for each request in an outage of " << kRequests << " requests\n";
  for (const bool budgeted : { true, false }) {
    RetryBudget budget;
    std::uint64_t attempts = 0;
    for (int request = 0; request < kRequests; ++request) {
      budget.OnRequest();
      LostAttempt lost;
      lost.outcome = RunOutcome::MayHaveRun;
      lost.timeLeft = std::chrono::seconds(1);
      do {
        ++attempts;
        ++lost.tries;
      } while (DecideRecoveryStep(lost) == RecoveryStep::Repeat && (!budgeted || budget.TryTake()));
    }
    std::cout << absl::StrFormat("%-14s %.3f\n",
                                 budgeted ? "with budget" : "without",
                                 static_cast<double>(attempts) / kRequests);
  }
}

void
PrintFairness()
{
  std::cout << "\nFirst token of a workspace at half its share, in seconds, while another of the\n"
            << "same weight asks for 1 and for 10 times its share\n"
            << "policy        other      p50     p95\n";
  for (const Policy policy : kPolicies) {
    for (const double other : { 1.0, 10.0 }) {
      const double share = kCapacityPerSecond / 2;
      OverloadSimulation run(policy,
                             { Workload{ "small", 1, [=](double) { return share / 2; } },
                               Workload{ "large", 1, [=](double) { return other * share; } } },
                             kSeed);
      run.Run(kWarmUpSeconds + kMinute);
      std::cout << absl::StrFormat("%-12s  %4.0fx  %7.3f %7.3f\n",
                                   ForAbsl(PolicyName(policy)),
                                   other,
                                   run.FirstToken("small", 0.5),
                                   run.FirstToken("small", 0.95));
    }
  }
}

std::size_t
ResidentBytes()
{
  std::ifstream file("/proc/self/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  file >> total >> resident;
  return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

ClaimCommand
MakeClaim(std::uint64_t aNumber)
{
  ClaimCommand command;
  command.workspace = WorkspaceId("office");
  command.key = IdempotencyKey(absl::StrFormat("key-%d", aNumber));
  command.attempt = AttemptId(absl::StrFormat("req-north-1-%d", aNumber));
  command.body = Digest("a digest of sixty-four hex digits stands here in the real commands");
  command.retention = std::chrono::hours(48);
  command.lease = std::chrono::seconds(30);
  return command;
}

// The ledger alone: decoding, deciding, encoding. The log and its syncs come on top.
void
PrintClaims()
{
  constexpr std::uint64_t kClaims = 1'000'000;
  ClaimStateMachine machine;
  ApplyContext context;
  context.proposedAt = SystemClock().WallNow();
  const std::size_t before = ResidentBytes();
  const auto begun = std::chrono::steady_clock::now();
  for (std::uint64_t number = 0; number < kClaims; ++number) {
    ClaimCommand command = MakeClaim(number);
    context.index = context.index.Next();
    machine.Apply(context, EncodeClaimCommand(command));
    command.verb = ClaimVerb::Finish;
    context.index = context.index.Next();
    machine.Apply(context, EncodeClaimCommand(command));
  }
  const std::chrono::duration<double> took = std::chrono::steady_clock::now() - begun;
  std::cout << absl::StrFormat(
    "\nLedger: %d keys claimed and finished; %.0f keys a second, %.0f bytes of memory a key\n",
    kClaims,
    static_cast<double>(kClaims) / took.count(),
    static_cast<double>(ResidentBytes() - before) / static_cast<double>(kClaims));
}

} // namespace

int
RunRequests(const std::vector<std::string>& /*aArguments*/)
{
  PrintGoodput();
  PrintRecovery();
  PrintRetries();
  PrintFairness();
  PrintClaims();
  return 0;
}

} // namespace damasklink::bench
