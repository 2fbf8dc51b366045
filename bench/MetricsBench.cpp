// What one record costs the traffic threads.
#include <iostream>
#include <thread>

#include <absl/strings/str_format.h>

#include "Bench.h"
#include "damasklink/coordination/ServiceLevelWindows.h"
#include "damasklink/state/MetricsRegistry.h"
#include "damasklink/state/Text.h"

namespace damasklink::bench {
namespace {

constexpr std::uint64_t kRecords = 400'000;
constexpr std::size_t kWorkspaces = 10;

// Returns nanoseconds for one call of aRecord, made by each of aThreads at once.
template<typename Record>
double
NanosecondsFor(std::size_t aThreads, const Record& aRecord)
{
  const auto started = std::chrono::steady_clock::now();
  std::vector<std::thread> threads;
  for (std::size_t index = 0; index < aThreads; ++index) {
    threads.emplace_back([&, index] {
      const MetricKey key{ WorkspaceId(Concat("workspace-", index % kWorkspaces)), "" };
      for (std::uint64_t count = 0; count < kRecords; ++count) {
        aRecord(key);
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  const std::chrono::duration<double, std::nano> elapsed =
    std::chrono::steady_clock::now() - started;
  return elapsed.count() / static_cast<double>(kRecords);
}

} // namespace

int
RunMetrics(const std::vector<std::string>& /*aArguments*/)
{
  const SystemClock clock;
  ServiceLevelWindows levels(clock, kMostMetricSeries);
  MetricsRegistry registry(clock, levels, kMostMetricSeries);
  for (const std::size_t threads : { 1, 2, 4, 8 }) {
    const double add = NanosecondsFor(
      threads, [&](const MetricKey& aKey) { registry.Add(Counter::AnswerTokens, aKey, 1); });
    const double observe = NanosecondsFor(threads, [&](const MetricKey& aKey) {
      registry.Observe(Sample::BetweenTokens, aKey, std::chrono::milliseconds(2));
    });
    const double count = NanosecondsFor(
      threads, [&](const MetricKey& aKey) { registry.CountServiceLevel(aKey.workspace, true); });
    std::cout << absl::StrFormat("%d threads at once: counter %.0f ns, sample %.0f ns, service "
                                 "level %.0f ns for each record of a thread\n",
                                 threads,
                                 add,
                                 observe,
                                 count);
  }
  return 0;
}

} // namespace damasklink::bench
