// Tracks the content of one store of prompt parts from its events and lists.
//
//   StoreContentTracker tracker(endpoint);
//   if (tracker.NeedsList()) tracker.ApplyList(list, now);
//   else tracker.ApplyEvents(events);
//   auto changes = tracker.TakeChanges();    // For entry hosts.
//
// A restarted store has a new epoch and is empty. After a gap in the events or a new epoch a list
// is needed; until it arrives, the store counts as unreachable and its content as unknown. Not
// thread-safe.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "damasklink/coordination/ServingMessages.h"
#include "damasklink/state/Clock.h"

namespace damasklink {

// Identifies one start of a store.
using StoreEpoch = NumberId<struct StoreEpochTag>;

// One change, or one entry of a list. Only complete parts are reported.
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
  // Sequence to request next.
  Sequence next;
  // Set if events between the requested sequence and the first one here were dropped.
  bool lost = false;
  std::vector<StoredPartEvent> events;
  // Number of malformed rows. They are skipped; the other rows are valid.
  std::size_t unreadable = 0;
};

// A part that is being written, or that its writer has abandoned. It occupies its reserved space
// until it is freed.
struct UnfinishedPart
{
  PartName name;
  TokenCount written;
  TokenCount reserved;

  bool operator==(const UnfinishedPart&) const = default;
};

// The complete content of a store.
struct StoreList
{
  StoreEpoch epoch;
  // Sequence of the first event after the list.
  Sequence next;
  // Complete parts.
  std::vector<StoredPartEvent> parts;
  // Number of malformed rows, which are skipped.
  std::size_t unreadable = 0;
  std::vector<UnfinishedPart> unfinished;
};

class StoreContentTracker
{
public:
  // A part that has not grown for this long counts as abandoned. Transfers that would wait two
  // seconds are not begun, and the longest takes some seconds on a slow link. Without this limit
  // one store of five was full after a third of the engines had crashed three times.
  static constexpr Duration kAbandonedAfter = std::chrono::seconds(9);

  explicit StoreContentTracker(Endpoint aStore)
    : store(std::move(aStore))
  {
  }

  bool NeedsList() const { return !this->live; }

  // Returns the sequence to request the next events from.
  Sequence Next() const { return this->next; }

  // Applies events. A gap or another epoch marks the store unreachable instead.
  void ApplyEvents(const StoreEvents& aEvents);

  // Replaces the content.
  void ApplyList(const StoreList& aList, MonotonicTime aNow);

  // Clears the content of a store that does not answer. A list is needed afterwards.
  void MarkUnreachable();

  // Returns the changes since the last call, or nothing if there are none.
  std::optional<StoreUpdate> TakeChanges();

  // Returns the complete content.
  StoreUpdate Snapshot() const;

  // Returns at most aMax parts that were computed with older weights than the given ones, by model.
  std::vector<PartName> PartsOfOlderWeights(const std::map<ModelName, std::uint64_t>& aWeights,
                                            std::size_t aMax) const;

  // Returns at most aMax parts whose writers stopped before completing them. Nobody reads such
  // parts. An engine that crashes while saving leaves one, which may take a tenth of a small store.
  std::vector<PartName> AbandonedParts(MonotonicTime aNow, std::size_t aMax) const;

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
  // Incomplete parts of the last list, and since when they have not grown.
  std::map<PartKey, Unfinished> unfinished;
  // What the next TakeChanges() returns.
  StoreUpdate changes;
  bool changed = false;
};

} // namespace damasklink
