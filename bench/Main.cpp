// Runs one bench by name.
#include <iostream>
#include <string>
#include <string_view>
#include <vector>

#include "Bench.h"

namespace {

struct BenchCommand
{
  std::string_view name;
  std::string_view purpose;
  int (*run)(const std::vector<std::string>& aArguments);
};

const std::vector<BenchCommand> kCommands{
  { "agreement",
    "replicated log on real files and loopback links",
    damasklink::bench::RunAgreement },
  { "configuration",
    "a large tree, its changes and their spread",
    damasklink::bench::RunConfiguration },
  { "slopes", "state, processor time and bytes as they grow", damasklink::bench::RunSlopes },
  { "requests", "goodput, recovery, retries, fairness, claims", damasklink::bench::RunRequests },
  { "relay", "what relaying costs; run it by tools/bench-relay", damasklink::bench::RunRelay },
  { "policy", "routing and reuse against baselines", damasklink::bench::RunPolicyBench },
  { "metrics", "what recording a metric costs", damasklink::bench::RunMetrics },
  { "reuse", "time and memory of routing and block directory", damasklink::bench::RunReuseBench },
};

int
PrintUsage()
{
  std::cerr << "Usage: damasklink-bench COMMAND [ARGUMENT...]\n";
  for (const BenchCommand& command : kCommands) {
    std::cerr << "  " << command.name << "  " << command.purpose << '\n';
  }
  return 2;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  const std::vector<std::string> words(aArguments + 1, aArguments + aCount);
  if (words.empty()) {
    return PrintUsage();
  }
  for (const BenchCommand& command : kCommands) {
    if (command.name == words.front()) {
      return command.run({ words.begin() + 1, words.end() });
    }
  }
  return PrintUsage();
}
