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

namespace damasklink {

class StorePace
{
public:
  // Weight of a new first event in the mean of its store: some five of them count.
  static constexpr double kWeight = 0.2;
  // First events before a store's mean counts.
  static constexpr int kLeastSeen = 4;
  // A store is slow when its mean is above the best other one's, doubled, by this many
  // milliseconds: about the reading of a long part, which is what a slow fetch would save.
  static constexpr double kSlowBy = 100;
  // One in so many is fetched from a slow store all the same, to see whether it still is.
  static constexpr unsigned kProbeOneIn = 8;

  explicit StorePace(std::uint64_t aSeed)
    : random(aSeed)
  {
  }

  // Takes what a first event took beyond the engine's own work, in milliseconds. An empty name
  // stands for prompts that fetched nothing.
  void Note(const std::string& aStore, double aExcess);

  bool IsSlow(const std::string& aStore) const;

  // Returns whether to fetch from the store: always from one that is not slow, now and then from
  // one that is.
  bool MayFetch(const std::string& aStore);

private:
  struct Mean
  {
    double excess = 0;
    int seen = 0;
  };

  std::minstd_rand random;
  std::map<std::string, Mean> means;
};

} // namespace damasklink
