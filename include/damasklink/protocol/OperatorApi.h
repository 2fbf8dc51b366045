// What operators and a host say to each other over HTTP about the configuration, as JSON.
//
// docs/API.md lists paths and fields. The commands of the program and the host use the same types.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "damasklink/coordination/ConfigChange.h"

namespace damasklink {

// A change as an operator sends it.
struct ChangeRequest
{
  ChangeId id;
  SubtreeName subtree;
  Revision base;
  std::string author;
  // YAML of a tree with this one subtree; not read when deleted is set.
  std::string content;
  bool deleted = false;

  bool operator==(const ChangeRequest&) const = default;
};

std::string
FormatChangeRequest(const ChangeRequest& aRequest);
// Fails with InvalidArgument naming the field.
Result<ChangeRequest>
ParseChangeRequest(std::string_view aBody);

// The answer to an accepted change.
std::string
FormatAccepted(Revision aRevision);
Result<Revision>
ParseAccepted(std::string_view aBody);

struct SubtreeVersion
{
  SubtreeName name;
  Revision version;

  bool operator==(const SubtreeVersion&) const = default;
};

struct SubtreeList
{
  Revision revision;
  std::vector<SubtreeVersion> subtrees;

  bool operator==(const SubtreeList&) const = default;
};

std::string
FormatSubtreeList(const SubtreeList& aList);
Result<SubtreeList>
ParseSubtreeList(std::string_view aBody);

struct SubtreeView
{
  SubtreeName name;
  Revision version;
  // Canonical text; empty when the subtree does not exist.
  std::string content;

  bool operator==(const SubtreeView&) const = default;
};

std::string
FormatSubtreeView(const SubtreeView& aView);
Result<SubtreeView>
ParseSubtreeView(std::string_view aBody);

std::string
FormatHistory(const std::vector<HistoryEntry>& aEntries);
Result<std::vector<HistoryEntry>>
ParseHistory(std::string_view aBody);

// Which workspace holds a key in the tree in force.
struct KeyHolder
{
  Digest key;
  WorkspaceId workspace;

  bool operator==(const KeyHolder&) const = default;
};

// The question for the holders of keys; keys that nobody holds are left out of the answer.
std::string
FormatKeys(const std::vector<Digest>& aKeys);
Result<std::vector<Digest>>
ParseKeys(std::string_view aBody);

std::string
FormatKeyHolders(const std::vector<KeyHolder>& aHolders);
Result<std::vector<KeyHolder>>
ParseKeyHolders(std::string_view aBody);

// Where a revision is in force, as far as the asked host could learn.
struct InForceReport
{
  Revision revision;
  std::vector<HostId> inForce;
  std::vector<HostId> missing;

  bool operator==(const InForceReport&) const = default;
};

std::string
FormatInForceReport(const InForceReport& aReport);
Result<InForceReport>
ParseInForceReport(std::string_view aBody);

struct PeerStatus
{
  HostId host;
  bool up = false;
  Revision revision;

  bool operator==(const PeerStatus&) const = default;
};

// One target as the asked host sees it.
struct TargetStatus
{
  std::string id;
  std::string kind;
  std::string zone;
  bool usable = false;
  // "model@version" of each model served, joined by commas; for people.
  std::string models;

  bool operator==(const TargetStatus&) const = default;
};

// How far a deployment is.
struct RolloutStatus
{
  std::string deployment;
  std::string state;
  std::string detail;

  bool operator==(const RolloutStatus&) const = default;
};

struct HostStatus
{
  HostId host;
  ZoneId zone;
  Revision revision;
  Duration confirmedAge{ 0 };
  bool stale = false;
  HostId leader;
  Term term;
  bool leaseHeld = false;
  std::vector<PeerStatus> peers;
  std::vector<TargetStatus> targets;
  std::vector<RolloutStatus> rollouts;

  bool operator==(const HostStatus&) const = default;
};

std::string
FormatHostStatus(const HostStatus& aStatus);
Result<HostStatus>
ParseHostStatus(std::string_view aBody);

// Returns the error that a body of FormatErrorBody() tells of, or a general one with the status.
Error
ParseErrorBody(int aStatus, std::string_view aBody);

// Returns the wall time as "2026-12-02T19:38:53Z".
std::string
FormatWallTime(WallTime aTime);

} // namespace damasklink
