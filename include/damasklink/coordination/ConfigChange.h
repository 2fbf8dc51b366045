// A change that an operator asks for, and what became of it.
#pragma once

#include "damasklink/state/Clock.h"
#include "damasklink/state/RevisionedTree.h"

namespace damasklink {

// Replaces one subtree whole, or deletes it.
struct ConfigChange
{
  // Chosen by the operator's side; the same change sent again carries the same one.
  ChangeId id;
  // Null content deletes.
  Subtree subtree;
  // The version of the subtree that the change was made from, zero where it did not exist.
  Revision base;
  // Who asks, for the history.
  std::string author;
};

enum class ChangeVerdict : std::uint8_t
{
  Accepted = 1,
  // Another change came first.
  Conflict = 2,
  // The content breaks a rule of the tree.
  Refused = 3,
  // The change id was used for another change before.
  IdReused = 4,
};

struct ChangeAnswer
{
  ChangeVerdict verdict = ChangeVerdict::Refused;
  // Accepted: the revision that the change made. Otherwise the version of the subtree in force.
  Revision revision;
  // Empty when accepted.
  std::string problem;

  bool operator==(const ChangeAnswer&) const = default;
};

// Returns Conflict or InvalidArgument with the remedy. Requires an answer that is not Accepted.
Error
ErrorOf(const ChangeAnswer& aAnswer);

// One accepted change as the history keeps it.
struct HistoryEntry
{
  Revision revision;
  WallTime when;
  ChangeId change;
  std::string author;
  SubtreeName subtree;
  bool deleted = false;

  bool operator==(const HistoryEntry&) const = default;
};

std::string
PackConfigChange(const ConfigChange& aChange);

// Packs the command that fills an empty tree: from the initial file, or from the highest tree that
// the hosts still hold after the control group lost all its disks.
std::string
PackConfigSeed(const ChangeId& aId, const std::string& aAuthor, const RevisionedTree& aTree);

// Packs the command that reads the history, newest first; it goes through the log so that any host
// gets the history of the group. Without a name it is that of all subtrees.
std::string
PackHistoryQuery(const std::optional<SubtreeName>& aName, std::size_t aMost);

std::string
PackHistory(const std::vector<HistoryEntry>& aEntries);

// Fails with Corrupt.
Result<std::vector<HistoryEntry>>
UnpackHistory(std::string_view aBytes);

std::string
PackChangeAnswer(const ChangeAnswer& aAnswer);

// Fails with Corrupt.
Result<ChangeAnswer>
UnpackChangeAnswer(std::string_view aBytes);

namespace internal {

enum class ConfigCommand : std::uint8_t
{
  Change = 1,
  Seed = 2,
  History = 3,
};

void
PackHistoryEntry(const HistoryEntry& aEntry, CompactWriter& aTo);

HistoryEntry
UnpackHistoryEntry(CompactReader& aFrom);

// Reads the body of a change behind its command number.
ConfigChange
UnpackChangeBody(CompactReader& aFrom);

} // namespace internal
} // namespace damasklink
