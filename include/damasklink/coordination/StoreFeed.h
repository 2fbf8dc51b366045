// What one store of prompt parts holds, as its events and lists tell.
//
//   StoreFeed feed;
//   if (feed.NeedsList()) feed.TakeList(list);
//   else feed.TakeEvents(events);
//   StoreUpdate changes = feed.TakeChanges();    // For entry hosts.
//
// A restarted store has another epoch and nothing in it; a gap in the events, or another epoch,
// asks for a list. Between a loss and the next list nothing is known. Not thread-safe.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "damasklink/coordination/ServingMessages.h"
#include "damasklink/state/Clock.h"

namespace damasklink {

// Which start of a store something was said in.
using StoreEpoch = NumberId<struct StoreEpochTag>;

// One change, or one entry of a list. A part is named only once it is whole.
struct StoredPartEvent
{
  PartName name;
  TokenCount tokens;
  bool added = true;

  bool operator==(const StoredPartEvent&) const = default;
};

struct StoreEvents
{
  StoreEpoch epoch;
  // Where the next question goes on.
  Sequence next;
  // Older events than the oldest one here were dropped.
  bool lost = false;
  std::vector<StoredPartEvent> events;
  // Rows that no store writes; they name no part, and the others hold.
  std::size_t unreadable = 0;
};

// A part that is being written, or whose writer broke off: it keeps its space until it is freed.
struct UnfinishedPart
{
  PartName name;
  TokenCount written;
  TokenCount reserved;

  bool operator==(const UnfinishedPart&) const = default;
};

// All that is held.
struct StoreList
{
  StoreEpoch epoch;
  Sequence next;
  // Parts that are whole.
  std::vector<StoredPartEvent> parts;
  // As above.
  std::size_t unreadable = 0;
  std::vector<UnfinishedPart> unfinished;
};

class StoreFeed
{
public:
  // A part of which nothing was written for so long is not being written any more: transfers that
  // would wait two seconds are not begun, and the longest takes some seconds on a slow link. After
  // a third of the engines crashed three times, one store of five had no room left without this.
  static constexpr Duration kBrokenOffAfter = std::chrono::seconds(9);

  explicit StoreFeed(Endpoint aStore)
    : store(std::move(aStore))
  {
  }

  bool NeedsList() const { return !this->live; }

  // Where the next question for events goes on.
  Sequence Next() const { return this->next; }

  void TakeEvents(const StoreEvents& aEvents);
  void TakeList(const StoreList& aList, MonotonicTime aNow);

  // The store does not answer: nothing that is known of it counts.
  void Lose();

  // Returns what has changed since the last call; nothing when nothing has.
  std::optional<StoreUpdate> TakeChanges();

  // Returns the whole of what is known.
  StoreUpdate All() const;

  // Returns the parts that were made by weights older than those given, by model, at most aMost.
  std::vector<PartName> MadeBefore(const std::map<ModelName, std::uint64_t>& aWeights,
                                   std::size_t aMost) const;

  // Returns parts whose writers broke off, at most aMost. They were never whole, so nobody reads
  // them; an engine that crashes while it saves leaves one, and space for a tenth of a small store.
  std::vector<PartName> BrokenOff(MonotonicTime aNow, std::size_t aMost) const;

  StoreEpoch Epoch() const { return this->epoch; }

private:
  struct Unfinished
  {
    UnfinishedPart part;
    MonotonicTime since;
  };

  TokenCount Reserved() const;

  Endpoint store;
  bool live = false;
  StoreEpoch epoch;
  Sequence next;
  std::map<PartKey, StoredPartEvent> parts;
  // Parts that are not whole, as the last list had them, and since when it has been so.
  std::map<PartKey, Unfinished> unfinished;
  // What the next TakeChanges() returns.
  StoreUpdate changes;
  bool changed = false;
};

} // namespace damasklink
