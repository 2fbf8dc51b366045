// What relaying costs: the same prompts sent to the stand-in engine directly and through one host.
//
// tools/bench-relay starts the processes and calls this with their addresses.
#include <algorithm>
#include <fstream>
#include <iostream>

#include <absl/strings/numbers.h>
#include <absl/strings/str_format.h>
#include <unistd.h>

#include "Bench.h"
#include "StreamLoad.h"
#include "damasklink/protocol/EngineApi.h"
#include "damasklink/state/Text.h"

namespace damasklink::bench {
namespace {

constexpr int kFirstTokenRounds = 300;
constexpr std::uint64_t kThroughputTokens = 400;
constexpr double kMilliseconds = 1000.0;

// Where the processes of the run are.
struct RelayTargets
{
  Endpoint direct;
  Endpoint via;
  std::string hostPid;
  std::vector<std::size_t> openStreams;
};

StreamLoad
DirectLoad(const RelayTargets& aTargets, std::size_t aStreams, std::uint64_t aTokens)
{
  EnginePrompt prompt;
  prompt.attempt = AttemptId("bench-1");
  prompt.model = ModelName("plates-7b");
  prompt.version = WeightVersion("v1");
  prompt.prompt = "bench";
  prompt.maxTokens = aTokens;
  return StreamLoad{ aTargets.direct, "/v1/completions", "", FormatEnginePrompt(prompt), aStreams };
}

StreamLoad
RelayedLoad(const RelayTargets& aTargets, std::size_t aStreams, std::uint64_t aTokens)
{
  const std::string body =
    Concat(R"({"model":"plates-7b","prompt":"bench","stream":true,"max_tokens":)", aTokens, "}");
  return StreamLoad{ aTargets.via, "/v1/completions", "counter-key", body, aStreams };
}

double
Median(std::vector<double> aValues)
{
  if (aValues.empty()) {
    return 0;
  }
  const auto middle = aValues.begin() + static_cast<std::ptrdiff_t>(aValues.size() / 2);
  std::nth_element(aValues.begin(), middle, aValues.end());
  return *middle;
}

// Returns the processor seconds that the process has used.
double
ProcessorSeconds(const std::string& aPid)
{
  constexpr int kFieldsBeforeTimes = 11; // After the name in parentheses.
  std::ifstream file(Concat("/proc/", aPid, "/stat"));
  std::string text;
  std::getline(file, text, ')');
  for (int field = 0; field < kFieldsBeforeTimes; ++field) {
    file >> text;
  }
  double user = 0;
  double system = 0;
  file >> user >> system;
  return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

// Returns the resident memory of the process in KiB.
double
ResidentKibibytes(const std::string& aPid)
{
  std::ifstream file(Concat("/proc/", aPid, "/status"));
  std::string word;
  while (file >> word) {
    if (word == "VmRSS:") {
      double kibibytes = 0;
      file >> kibibytes;
      return kibibytes;
    }
  }
  return 0;
}

// Alternates direct and relayed prompts, one at a time, so that both see the same machine.
void
MeasureFirstToken(const RelayTargets& aTargets)
{
  std::vector<double> direct;
  std::vector<double> via;
  for (int round = 0; round < kFirstTokenRounds; ++round) {
    for (const double value : RunLoad(DirectLoad(aTargets, 1, 1)).firstEvent) {
      direct.push_back(value);
    }
    for (const double value : RunLoad(RelayedLoad(aTargets, 1, 1)).firstEvent) {
      via.push_back(value);
    }
  }
  std::cout << absl::StrFormat(
    "first token, median of %d: direct %.3f ms, relayed %.3f ms, added %.3f ms\n",
    kFirstTokenRounds,
    Median(direct),
    Median(via),
    Median(via) - Median(direct));
}

void
PrintThroughput(const char* aName, const LoadResult& aResult)
{
  const double tokens = static_cast<double>(aResult.events);
  std::cout << absl::StrFormat("%s: %d whole, %d failed, %.0f tokens/s, %.1f requests/s, first "
                               "token median %.1f ms\n",
                               aName,
                               aResult.whole,
                               aResult.failed,
                               tokens / aResult.seconds,
                               static_cast<double>(aResult.whole) / aResult.seconds,
                               Median(aResult.firstEvent));
}

void
MeasureThroughput(const RelayTargets& aTargets)
{
  constexpr std::size_t kStreams = 800;
  PrintThroughput("800 streams, direct",
                  RunLoad(DirectLoad(aTargets, kStreams, kThroughputTokens)));
  const double before = ProcessorSeconds(aTargets.hostPid);
  const LoadResult via = RunLoad(RelayedLoad(aTargets, kStreams, kThroughputTokens));
  const double used = ProcessorSeconds(aTargets.hostPid) - before;
  PrintThroughput("800 streams, relayed", via);
  std::cout << absl::StrFormat("host's processor time: %.2f ms for 1,000 tokens, %.2f cores\n",
                               used * kMilliseconds * kMilliseconds /
                                 static_cast<double>(via.events),
                               used / via.seconds);
}

void
MeasureOpenStreams(const RelayTargets& aTargets)
{
  constexpr std::uint64_t kEndlessTokens = 900'000;
  for (const std::size_t streams : aTargets.openStreams) {
    const double before = ResidentKibibytes(aTargets.hostPid);
    double during = 0;
    const std::size_t open = HoldOpen(RelayedLoad(aTargets, streams, kEndlessTokens),
                                      [&] { during = ResidentKibibytes(aTargets.hostPid); });
    std::cout << absl::StrFormat(
      "open streams: %d of %d, host's memory %.0f MiB, %.1f KiB more for each\n",
      open,
      streams,
      during / kKibibyte,
      (during - before) / static_cast<double>(std::max<std::size_t>(open, 1)));
  }
}

} // namespace

int
RunRelay(const std::vector<std::string>& aArguments)
{
  constexpr std::size_t kFixedArguments = 4;
  if (aArguments.size() < kFixedArguments) {
    std::cerr << "Usage: damasklink-bench relay STEP DIRECT VIA HOST_PID [STREAMS...]\n"
                 "STEP is first-token, throughput or open; tools/bench-relay runs all three.\n";
    return 2;
  }
  RelayTargets targets;
  const std::string& step = aArguments[0];
  targets.direct = ParseEndpoint(aArguments[1]).value();
  targets.via = ParseEndpoint(aArguments[2]).value();
  targets.hostPid = aArguments[3];
  for (std::size_t index = kFixedArguments; index < aArguments.size(); ++index) {
    std::size_t streams = 0;
    if (!absl::SimpleAtoi(aArguments[index], &streams)) {
      std::cerr << "'" << aArguments[index] << "' is not a number of streams\n";
      return 2;
    }
    targets.openStreams.push_back(streams);
  }
  if (step == "first-token") {
    MeasureFirstToken(targets);
  } else if (step == "throughput") {
    MeasureThroughput(targets);
  } else {
    MeasureOpenStreams(targets);
  }
  return 0;
}

} // namespace damasklink::bench
