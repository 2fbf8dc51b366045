// Which stores of prompt parts are slower than the others just now, as first events show it.
//
//   StorePace pace(seed);
//   pace.Note(store, excess);       // What a first event took beyond the engine's own work.
//   if (pace.MayFetch(store)) ...   // Fetch the part; else read it.
//
// A store whose link is slowed holds up every prompt that fetches from it, and the transfers behind
// them. Compared with the other stores, not with a fixed time: when everything is slow, the stores
// are not the cause, and reading parts instead would make it worse. Not thread-safe.
#pragma once

#include <map>
#include <random>
#include <string>
#include <vector>

#include "damasklink/coordination/ServingMessages.h"

namespace damasklink {

class StorePace
{
public:
  // Weight of a new first event in the mean of its store: some five of them count.
  static constexpr double kWeight = 0.2;
  // First events before a store's mean counts.
  static constexpr std::uint64_t kLeastSeen = 4;
  // A store is too slow for a call when its mean is above the best other one's, doubled, by more
  // than it costs to read the call's parts instead, and at least by this many milliseconds.
  static constexpr double kSlowBy = 100;
  // What reading costs all in all, in multiples of its own time: the engine reads for one call at a
  // time, so those that come meanwhile wait too, while a fetch holds up other fetches only.
  static constexpr double kReadingCosts = 2;
  // One in so many is fetched from a slow store all the same, to see whether it still is.
  static constexpr unsigned kProbeOneIn = 8;

  explicit StorePace(std::uint64_t aSeed)
    : random(aSeed)
  {
  }

  // Takes what a first event took beyond the engine's own work, in milliseconds. An empty name
  // stands for prompts that fetched nothing.
  void Note(const std::string& aStore, double aExcess);

  // Returns what was noted since the last call, for the other hosts: one of many hosts sees a store
  // less than once a second, too seldom to notice that it has become slow.
  std::vector<StoreFetchDelay> TakeNotes();

  // Takes what other hosts noted.
  void Take(const std::vector<StoreFetchDelay>& aNotes);

  // Returns whether the store is too slow for parts that are read in aReading milliseconds.
  bool IsSlow(const std::string& aStore, double aReading = 0) const;

  // Returns whether to fetch from the store: always from one that is not slow, now and then from
  // one that is.
  bool MayFetch(const std::string& aStore, double aReading = 0);

private:
  struct Mean
  {
    double excess = 0;
    std::uint64_t seen = 0;
  };

  void Add(const std::string& aStore, std::uint64_t aCount, double aTotal);

  std::minstd_rand random;
  std::map<std::string, StoreFetchDelay> untold;
  std::map<std::string, Mean> means;
};

} // namespace damasklink
