// JSON bodies of the operators' API for the configuration and the status of a host.
//
// docs/API.md describes paths and fields. The command line client and the host share these types.
// All parsers fail with InvalidArgument, naming the invalid field. All except ParseChangeRequest()
// read a body that is not a JSON object as an empty one.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "damasklink/coordination/ConfigChange.h"

namespace damasklink {

// A configuration change that an operator requests.
struct ChangeRequest
{
  ChangeId id;
  SubtreeName subtree;
  Revision base;
  std::string author;
  // YAML of a tree that contains only this subtree; empty when `deleted` is set.
  std::string content;
  bool deleted = false;

  bool operator==(const ChangeRequest&) const = default;
};

std::string
FormatChangeRequest(const ChangeRequest& aRequest);
Result<ChangeRequest>
ParseChangeRequest(std::string_view aBody);

// The response to an accepted change, with the revision that contains it.
std::string
FormatAccepted(Revision aRevision);
Result<Revision>
ParseAccepted(std::string_view aBody);

// A subtree and the revision of its last change.
struct SubtreeVersion
{
  SubtreeName name;
  Revision version;

  bool operator==(const SubtreeVersion&) const = default;
};

// All subtrees of a revision of the tree.
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

// The content of one subtree.
struct SubtreeView
{
  SubtreeName name;
  Revision version;
  // The canonical text; empty if the subtree does not exist.
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

// The workspace that a key belongs to in the tree that is in force.
struct KeyHolder
{
  Digest key;
  WorkspaceId workspace;

  bool operator==(const KeyHolder&) const = default;
};

// The request for the holders of keys. The response omits keys that belong to no workspace.
std::string
FormatKeys(const std::vector<Digest>& aKeys);
Result<std::vector<Digest>>
ParseKeys(std::string_view aBody);

std::string
FormatKeyHolders(const std::vector<KeyHolder>& aHolders);
Result<std::vector<KeyHolder>>
ParseKeyHolders(std::string_view aBody);

// The hosts on which a revision is in force, as far as the responding host knows.
struct InForceReport
{
  Revision revision;
  std::vector<HostId> inForce;
  // Hosts on which the revision is not in force yet, or of which that is not known.
  std::vector<HostId> missing;

  bool operator==(const InForceReport&) const = default;
};

std::string
FormatInForceReport(const InForceReport& aReport);
Result<InForceReport>
ParseInForceReport(std::string_view aBody);

// Another host as the responding host sees it.
struct PeerStatus
{
  HostId host;
  bool up = false;
  Revision revision;

  bool operator==(const PeerStatus&) const = default;
};

// A target as the responding host sees it.
struct TargetStatus
{
  std::string id;
  std::string kind;
  std::string zone;
  bool usable = false;
  // "model@version" of each served model, separated by commas; for display only.
  std::string models;

  bool operator==(const TargetStatus&) const = default;
};

// The progress of the rollout of a deployment.
struct RolloutStatus
{
  std::string deployment;
  std::string state;
  std::string detail;

  bool operator==(const RolloutStatus&) const = default;
};

// The status of the responding host.
struct HostStatus
{
  HostId host;
  ZoneId zone;
  Revision revision;
  // The time since the leader last confirmed the revision as the newest one.
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

// Returns the error in a body of FormatErrorBody(). If there is none, or its code is unknown, the
// error has the kind Internal.
Error
ParseErrorBody(int aStatus, std::string_view aBody);

// Returns the time in UTC as "2026-12-02T19:38:53Z".
std::string
FormatWallTime(WallTime aTime);

} // namespace damasklink
