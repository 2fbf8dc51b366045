// Measures the time that a host's control thread spends on each kind of work, and the messages that
// it sends and receives for it.
//
//   WorkStatistics statistics(clock, metrics);
//   {
//     WorkTimer timer(statistics, Work::Heartbeats);
//     ...                                             // The time of this block is measured.
//   }
//   statistics.CountSent(Work::Totals, bytes);
//   statistics.Step();                                // Several times a second.
//
// Measures wall-clock time, so the time that the thread waits for a processor is included. The time
// of nested work isn't counted for the outer work. Not thread-safe.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

#include "damasklink/coordination/ServingMessages.h"
#include "damasklink/state/Clock.h"
#include "damasklink/state/Metrics.h"

namespace damasklink {

enum class Work
{
  Agreement,   // The replicated log.
  Heartbeats,  // Requests of targets and operators to the control address.
  Pictures,    // Updates about targets, weights and the announced configuration.
  Snapshots,   // Updates about all targets, for hosts that connect.
  Documents,   // Chunks of the configuration.
  Loads,       // Load reports of entry hosts and other control hosts.
  Totals,      // The sums of these reports, sent to entry hosts.
  StoredParts, // Content of stores.
  Hosts,       // Greetings, and lists of entry hosts.
  Origins,     // Lookups of which software version began a stream.
  TargetSteps, // Periodic checks of targets and weights.
  Decoding,    // Decoding of messages of other hosts, whose kind is not known yet.
};

// Returns the kind of work of handling a message of another host.
Work
WorkOf(const ServingMessage& aMessage);

// Number of kinds. Must name the last one.
constexpr std::size_t kWorkCount = static_cast<std::size_t>(Work::Decoding) + 1;

// Returns the name of a kind in metrics and logs.
std::string_view
WorkName(Work aWork);

class WorkStatistics
{
public:
  WorkStatistics(const Clock& aClock, Metrics& aMetrics);

  void CountReceived(Work aWork, std::size_t aBytes);
  void CountSent(Work aWork, std::size_t aBytes);

  // Switches to another kind of work, or to none. Returns the previous kind. Use WorkTimer instead.
  std::optional<Work> Begin(std::optional<Work> aWork);

  // Publishes to the metrics once a second, and logs every 10 s.
  void Step();

private:
  struct WorkUsage
  {
    std::uint64_t received = 0;
    std::uint64_t sent = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t bytesSent = 0;
    Duration time{ 0 };

    WorkUsage& operator+=(const WorkUsage& aOther);
  };

  using Statistics = std::array<WorkUsage, kWorkCount>;

  WorkUsage& At(Work aWork) { return this->unpublished.at(static_cast<std::size_t>(aWork)); }
  void Publish();
  void LogAll();

  const Clock& clock;
  Metrics& metrics;
  Statistics unpublished;
  Statistics unlogged;
  std::optional<Work> current;
  MonotonicTime currentSince;
  MonotonicTime nextPublication;
  MonotonicTime nextLog;
};

// Counts its lifetime as a kind of work. Must not live across a suspension of a coroutine: other
// work of the thread would be counted in between.
class WorkTimer
{
public:
  WorkTimer(WorkStatistics& aStatistics, Work aWork)
    : statistics(aStatistics)
    , outer(aStatistics.Begin(aWork))
  {
  }
  ~WorkTimer() { this->statistics.Begin(this->outer); }
  WorkTimer(const WorkTimer&) = delete;
  WorkTimer& operator=(const WorkTimer&) = delete;

private:
  WorkStatistics& statistics;
  std::optional<Work> outer;
};

} // namespace damasklink
