// Detects stores of prompt parts that are slower than the others, from the delays of first events.
//
//   SlowStoreDetector detector(seed);
//   detector.Observe(store, delay);        // Time to the first event beyond the engine's own work.
//   if (detector.ShouldFetch(store)) ...   // Fetch the part; else prefill it.
//
// A store with a slow link delays every prompt that fetches from it, and the transfers queued
// behind them. Stores are compared with each other, not with a fixed limit: when all are slow, the
// stores are not the cause, and prefilling the parts instead would make it worse. Not thread-safe.
#pragma once

#include <map>
#include <random>
#include <string>
#include <vector>

#include "damasklink/coordination/ServingMessages.h"

namespace damasklink {

class SlowStoreDetector
{
public:
  // Weight of a new observation in the moving average of its store, which covers about five of
  // them.
  static constexpr double kSmoothing = 0.2;
  // Observations before the average of a store is used.
  static constexpr std::uint64_t kMinObservationsPerStore = 4;
  // A store is too slow for a call when its average exceeds twice that of the best other store by
  // more than the cost of prefilling the call's parts, and by more than this, in milliseconds.
  static constexpr double kMinSlowMargin = 100;
  // Cost of prefilling in multiples of its time: an engine prefills one prompt at a time, so that
  // other calls wait for it, while a fetch delays other fetches only.
  static constexpr double kPrefillCostFactor = 2;
  // One in this many calls still fetches from a slow store, to detect that it has recovered.
  static constexpr unsigned kProbeInterval = 8;

  explicit SlowStoreDetector(std::uint64_t aSeed)
    : random(aSeed)
  {
  }

  // Records by how many milliseconds the time to the first event exceeded the engine's own work. An
  // empty name stands for prompts that fetched nothing.
  void Observe(const std::string& aStore, double aDelay);

  // Returns the observations since the last call, for the other hosts. A single one of many hosts
  // uses a store less than once a second, too rarely to detect that it has become slow.
  std::vector<StoreFetchDelay> TakeObservations();

  // Adds observations of other hosts.
  void Merge(const std::vector<StoreFetchDelay>& aObservations);

  // Returns whether the store is too slow for parts that take aPrefillTime milliseconds to prefill.
  bool IsSlow(const std::string& aStore, double aPrefillTime = 0) const;

  // Returns whether to fetch from the store: always if it is not slow, else for one in
  // kProbeInterval calls.
  bool ShouldFetch(const std::string& aStore, double aPrefillTime = 0);

private:
  struct Average
  {
    double delay = 0;
    // Stops counting at kMinObservationsPerStore.
    std::uint64_t observations = 0;
  };

  void Add(const std::string& aStore, std::uint64_t aCount, double aTotal);

  std::minstd_rand random;
  std::map<std::string, StoreFetchDelay> unreported;
  std::map<std::string, Average> averages;
};

} // namespace damasklink
