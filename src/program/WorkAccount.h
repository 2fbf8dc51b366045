// What the control thread of a host spends on each kind of its work, and what that sends and hears.
//
//   WorkAccount account(clock, metrics);
//   {
//     WorkTimer timer(account, Work::Heartbeats);
//     ...                                             // Its time is that of this block.
//   }
//   account.NoteSent(Work::Totals, bytes);
//   account.Step();                                   // Several times a second.
//
// Time is that on the clock: where the thread is not always run, it contains the waits. What is
// done within other work counts for itself alone. Not thread-safe.
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
  Heartbeats,  // What targets and operators ask of the control address.
  Pictures,    // Targets and what is in force.
  Documents,   // Pieces of the configuration.
  Loads,       // What entry hosts have where, as they and other control hosts tell it.
  Totals,      // The sum of that, for entry hosts.
  StoredParts, // What stores hold.
  Hosts,       // Greetings, and which entry hosts there are.
  TargetSteps, // The regular look at targets and weights.
  Decoding,    // Messages of other hosts, before their kind is known.
};

// Returns the kind of work that a message of another host is.
Work
WorkOf(const ServingMessage& aMessage);

// How many kinds there are; follows the last one.
constexpr std::size_t kWorkCount = static_cast<std::size_t>(Work::Decoding) + 1;

// Returns the name of a kind in metrics and logs.
std::string_view
WorkName(Work aWork);

class WorkAccount
{
public:
  WorkAccount(const Clock& aClock, Metrics& aMetrics);

  void NoteHeard(Work aWork, std::size_t aBytes);
  void NoteSent(Work aWork, std::size_t aBytes);

  // Begins another work, or none. Returns what was under way.
  std::optional<Work> Begin(std::optional<Work> aWork);

  // Adds what was noted to the metrics once a second, and writes it to the log now and then.
  void Step();

private:
  struct Spent
  {
    std::uint64_t heard = 0;
    std::uint64_t sent = 0;
    std::uint64_t bytesHeard = 0;
    std::uint64_t bytesSent = 0;
    Duration time{ 0 };

    Spent& operator+=(const Spent& aOther);
  };

  using Account = std::array<Spent, kWorkCount>;

  Spent& At(Work aWork) { return this->unpublished.at(static_cast<std::size_t>(aWork)); }
  void Publish();
  void LogAll();

  const Clock& clock;
  Metrics& metrics;
  Account unpublished;
  Account unlogged;
  std::optional<Work> current;
  MonotonicTime currentSince;
  MonotonicTime nextPublication;
  MonotonicTime nextLog;
};

// Makes its life count as a kind of work. Never to be kept while a coroutine waits.
class WorkTimer
{
public:
  WorkTimer(WorkAccount& aAccount, Work aWork)
    : account(aAccount)
    , outer(aAccount.Begin(aWork))
  {
  }
  ~WorkTimer() { this->account.Begin(this->outer); }
  WorkTimer(const WorkTimer&) = delete;
  WorkTimer& operator=(const WorkTimer&) = delete;

private:
  WorkAccount& account;
  std::optional<Work> outer;
};

} // namespace damasklink
