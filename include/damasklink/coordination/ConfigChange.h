// Configuration changes requested by operators, their answers and the history of accepted ones.
//
//   std::string command = PackConfigChange(change);
//   ... commit it ...
//   Result<ChangeAnswer> answer = UnpackChangeAnswer(bytes);
#pragma once

#include "damasklink/state/Clock.h"
#include "damasklink/state/RevisionedTree.h"

namespace damasklink {

// Replaces the content of one subtree, or deletes the subtree.
struct ConfigChange
{
  // Chosen by the client; a resent change carries the same id.
  ChangeId id;
  // Null content deletes the subtree.
  Subtree subtree;
  // The version of the subtree that the change is based on; zero if the subtree did not exist.
  Revision base;
  // The name recorded in the history.
  std::string author;
};

enum class ChangeVerdict : std::uint8_t
{
  Accepted = 1,
  // The subtree has another version than the one that the change is based on.
  Conflict = 2,
  // The content violates a rule of the tree, or the change cannot be read.
  Refused = 3,
  // An earlier change with other content has the same change id.
  IdReused = 4,
};

struct ChangeAnswer
{
  ChangeVerdict verdict = ChangeVerdict::Refused;
  // The revision that the change created, or the current version of the subtree if not accepted.
  Revision revision;
  // A message for people; empty if accepted.
  std::string problem;

  bool operator==(const ChangeAnswer&) const = default;
};

// Converts an answer to an error of the kind Conflict or InvalidArgument, with a remedy. Requires
// that the change was not accepted.
Error
ErrorOf(const ChangeAnswer& aAnswer);

// A record of one accepted change.
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

// Packs the command that fills an empty tree: with the initial file or, after the control group has
// lost all its disks, with the tree of the highest revision that any host still holds.
std::string
PackConfigSeed(const ChangeId& aId, const std::string& aAuthor, const RevisionedTree& aTree);

// Packs the command that reads at most aMost history entries, newest first, of one subtree or,
// without a name, of all subtrees. The query goes through the replicated log, so every host returns
// the history that the group has committed.
std::string
PackHistoryQuery(const std::optional<SubtreeName>& aName, std::size_t aMost);

std::string
PackHistory(const std::vector<HistoryEntry>& aEntries);

// Returns Corrupt if the bytes are no packed history.
Result<std::vector<HistoryEntry>>
UnpackHistory(std::string_view aBytes);

std::string
PackChangeAnswer(const ChangeAnswer& aAnswer);

// Returns Corrupt if the bytes are no packed answer.
Result<ChangeAnswer>
UnpackChangeAnswer(std::string_view aBytes);

namespace internal {

// The first number of each packed command. Stored in the log.
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

// Reads a change after its command number has been read.
ConfigChange
UnpackChangeBody(CompactReader& aFrom);

} // namespace internal
} // namespace damasklink
