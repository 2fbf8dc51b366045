#include "damasklink/protocol/OperatorApi.h"

#include <absl/time/time.h>

#include "JsonFields.h"

namespace damasklink {
namespace {

using internal::Dump;
using internal::FieldReader;
using internal::Json;

Error
Invalid(const std::string& aProblem)
{
  return Error{ ErrorKind::InvalidArgument, aProblem, "compare the body with docs/API.md" };
}

// Returns null if the body is not a JSON object.
Json
ParseObject(std::string_view aBody)
{
  Json body = Json::parse(aBody, nullptr, false);
  return body.is_object() ? body : Json();
}

// Returns the value, or an error with the reader's first problem.
template<typename T>
Result<T>
Finish(const FieldReader& aFields, T aValue)
{
  if (!aFields.Problem().empty()) {
    return Fail(Invalid(aFields.Problem()));
  }
  return aValue;
}

SubtreeName
ReadName(FieldReader& aFields)
{
  auto name = ParseSubtreeName(aFields.Text("subtree"));
  if (!name) {
    aFields.AddProblem("subtree", name.error().message);
    return SubtreeName();
  }
  return name.value();
}

Duration
ReadMilliseconds(FieldReader& aFields, const char* aName)
{
  return std::chrono::milliseconds(aFields.Count(aName));
}

std::int64_t
MillisecondsOf(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count();
}

template<typename IdType>
Json
IdsJson(const std::vector<IdType>& aIds)
{
  Json list = Json::array();
  for (const IdType& id : aIds) {
    list.push_back(id.Value());
  }
  return list;
}

template<typename IdType>
std::vector<IdType>
ReadIds(FieldReader& aFields, const char* aName)
{
  std::vector<IdType> ids;
  for (const Json& item : aFields.Items(aName)) {
    if (!item.is_string()) {
      aFields.AddProblem(aName, "has an entry that is not a string");
      break;
    }
    ids.emplace_back(item.get<std::string>());
  }
  return ids;
}

// Reads an array of objects with aRead. The first problem of an entry becomes that of the array.
template<typename T, typename Read>
std::vector<T>
ReadObjects(FieldReader& aFields, const char* aName, Read aRead)
{
  std::vector<T> items;
  for (const Json& item : aFields.Items(aName)) {
    if (!item.is_object()) {
      aFields.AddProblem(aName, "has an entry that is not an object");
      break;
    }
    FieldReader fields(item);
    items.push_back(aRead(fields));
    if (!fields.Problem().empty()) {
      aFields.AddProblem(aName, fields.Problem());
      break;
    }
  }
  return items;
}

HistoryEntry
ReadHistoryEntry(FieldReader& aFields)
{
  HistoryEntry entry;
  entry.revision = Revision(aFields.Count("revision"));
  entry.when = WallTime(std::chrono::milliseconds(aFields.Count("when_ms")));
  entry.change = ChangeId(aFields.Text("change_id"));
  entry.author = aFields.Text("author");
  entry.subtree = ReadName(aFields);
  entry.deleted = aFields.Flag("deleted");
  return entry;
}

PeerStatus
ReadPeerStatus(FieldReader& aFields)
{
  PeerStatus peer;
  peer.host = HostId(aFields.Text("host"));
  peer.up = aFields.Flag("up");
  peer.revision = Revision(aFields.Count("revision"));
  return peer;
}

TargetStatus
ReadTargetStatus(FieldReader& aFields)
{
  TargetStatus target;
  target.id = aFields.Text("id");
  target.kind = aFields.Text("kind");
  target.zone = aFields.Text("zone");
  target.usable = aFields.Flag("usable");
  target.models = aFields.Text("models");
  return target;
}

RolloutStatus
ReadRolloutStatus(FieldReader& aFields)
{
  RolloutStatus rollout;
  rollout.deployment = aFields.Text("deployment");
  rollout.state = aFields.Text("state");
  rollout.detail = aFields.Text("detail");
  return rollout;
}

Json
PeersJson(const std::vector<PeerStatus>& aPeers)
{
  Json list = Json::array();
  for (const PeerStatus& peer : aPeers) {
    list.push_back(Json{
      { "host", peer.host.Value() }, { "up", peer.up }, { "revision", peer.revision.Value() } });
  }
  return list;
}

Json
TargetsJson(const std::vector<TargetStatus>& aTargets)
{
  Json list = Json::array();
  for (const TargetStatus& target : aTargets) {
    list.push_back(Json{ { "id", target.id },
                         { "kind", target.kind },
                         { "zone", target.zone },
                         { "usable", target.usable },
                         { "models", target.models } });
  }
  return list;
}

Json
RolloutsJson(const std::vector<RolloutStatus>& aRollouts)
{
  Json list = Json::array();
  for (const RolloutStatus& rollout : aRollouts) {
    list.push_back(Json{ { "deployment", rollout.deployment },
                         { "state", rollout.state },
                         { "detail", rollout.detail } });
  }
  return list;
}

} // namespace

std::string
FormatChangeRequest(const ChangeRequest& aRequest)
{
  return Dump(Json{ { "change_id", aRequest.id.Value() },
                    { "subtree", FormatSubtreeName(aRequest.subtree) },
                    { "base", aRequest.base.Value() },
                    { "author", aRequest.author },
                    { "content", aRequest.content },
                    { "deleted", aRequest.deleted } });
}

Result<ChangeRequest>
ParseChangeRequest(std::string_view aBody)
{
  const Json body = ParseObject(aBody);
  if (body.is_null()) {
    return Fail(Invalid("the change is not a JSON object"));
  }
  FieldReader fields(body);
  ChangeRequest request;
  request.id = ChangeId(fields.Text("change_id"));
  request.subtree = ReadName(fields);
  request.base = Revision(fields.Count("base"));
  request.author = fields.Text("author");
  request.content = fields.Text("content");
  request.deleted = fields.Flag("deleted");
  if (request.id.Empty()) {
    fields.AddProblem("change_id", "is missing");
  }
  if (request.deleted != request.content.empty()) {
    fields.AddProblem("content", "must be set if the subtree is not deleted, and empty if it is");
  }
  return Finish(fields, std::move(request));
}

std::string
FormatAccepted(Revision aRevision)
{
  return Dump(Json{ { "accepted", true }, { "revision", aRevision.Value() } });
}

Result<Revision>
ParseAccepted(std::string_view aBody)
{
  const Json body = ParseObject(aBody);
  FieldReader fields(body);
  return Finish(fields, Revision(fields.Count("revision")));
}

std::string
FormatSubtreeList(const SubtreeList& aList)
{
  Json subtrees = Json::array();
  for (const SubtreeVersion& subtree : aList.subtrees) {
    subtrees.push_back(Json{ { "subtree", FormatSubtreeName(subtree.name) },
                             { "version", subtree.version.Value() } });
  }
  return Dump(Json{ { "revision", aList.revision.Value() }, { "subtrees", subtrees } });
}

Result<SubtreeList>
ParseSubtreeList(std::string_view aBody)
{
  const Json body = ParseObject(aBody);
  FieldReader fields(body);
  SubtreeList list;
  list.revision = Revision(fields.Count("revision"));
  list.subtrees = ReadObjects<SubtreeVersion>(fields, "subtrees", [](FieldReader& aItem) {
    return SubtreeVersion{ ReadName(aItem), Revision(aItem.Count("version")) };
  });
  return Finish(fields, std::move(list));
}

std::string
FormatSubtreeView(const SubtreeView& aView)
{
  return Dump(Json{ { "subtree", FormatSubtreeName(aView.name) },
                    { "version", aView.version.Value() },
                    { "content", aView.content } });
}

Result<SubtreeView>
ParseSubtreeView(std::string_view aBody)
{
  const Json body = ParseObject(aBody);
  FieldReader fields(body);
  SubtreeView view;
  view.name = ReadName(fields);
  view.version = Revision(fields.Count("version"));
  view.content = fields.Text("content");
  return Finish(fields, std::move(view));
}

std::string
FormatHistory(const std::vector<HistoryEntry>& aEntries)
{
  Json list = Json::array();
  for (const HistoryEntry& entry : aEntries) {
    const Duration sinceEpoch = entry.when.time_since_epoch();
    list.push_back(Json{ { "revision", entry.revision.Value() },
                         { "when", FormatWallTime(entry.when) },
                         { "when_ms", MillisecondsOf(sinceEpoch) },
                         { "change_id", entry.change.Value() },
                         { "author", entry.author },
                         { "subtree", FormatSubtreeName(entry.subtree) },
                         { "deleted", entry.deleted } });
  }
  return Dump(Json{ { "changes", list } });
}

Result<std::vector<HistoryEntry>>
ParseHistory(std::string_view aBody)
{
  const Json body = ParseObject(aBody);
  FieldReader fields(body);
  auto entries = ReadObjects<HistoryEntry>(fields, "changes", ReadHistoryEntry);
  return Finish(fields, std::move(entries));
}

std::string
FormatKeys(const std::vector<Digest>& aKeys)
{
  return Dump(Json{ { "keys", IdsJson(aKeys) } });
}

Result<std::vector<Digest>>
ParseKeys(std::string_view aBody)
{
  const Json body = ParseObject(aBody);
  FieldReader fields(body);
  auto keys = ReadIds<Digest>(fields, "keys");
  return Finish(fields, std::move(keys));
}

std::string
FormatKeyHolders(const std::vector<KeyHolder>& aHolders)
{
  Json list = Json::array();
  for (const KeyHolder& holder : aHolders) {
    list.push_back(
      Json{ { "key", holder.key.Value() }, { "workspace", holder.workspace.Value() } });
  }
  return Dump(Json{ { "holders", list } });
}

Result<std::vector<KeyHolder>>
ParseKeyHolders(std::string_view aBody)
{
  const Json body = ParseObject(aBody);
  FieldReader fields(body);
  auto holders = ReadObjects<KeyHolder>(fields, "holders", [](FieldReader& aItem) {
    return KeyHolder{ Digest(aItem.Text("key")), WorkspaceId(aItem.Text("workspace")) };
  });
  return Finish(fields, std::move(holders));
}

std::string
FormatInForceReport(const InForceReport& aReport)
{
  return Dump(Json{ { "revision", aReport.revision.Value() },
                    { "in_force", IdsJson(aReport.inForce) },
                    { "missing", IdsJson(aReport.missing) } });
}

Result<InForceReport>
ParseInForceReport(std::string_view aBody)
{
  const Json body = ParseObject(aBody);
  FieldReader fields(body);
  InForceReport report;
  report.revision = Revision(fields.Count("revision"));
  report.inForce = ReadIds<HostId>(fields, "in_force");
  report.missing = ReadIds<HostId>(fields, "missing");
  return Finish(fields, std::move(report));
}

std::string
FormatHostStatus(const HostStatus& aStatus)
{
  return Dump(Json{ { "host", aStatus.host.Value() },
                    { "zone", aStatus.zone.Value() },
                    { "revision", aStatus.revision.Value() },
                    { "confirmed_age_ms", MillisecondsOf(aStatus.confirmedAge) },
                    { "stale", aStatus.stale },
                    { "leader", aStatus.leader.Value() },
                    { "term", aStatus.term.Value() },
                    { "lease_held", aStatus.leaseHeld },
                    { "peers", PeersJson(aStatus.peers) },
                    { "targets", TargetsJson(aStatus.targets) },
                    { "rollouts", RolloutsJson(aStatus.rollouts) } });
}

Result<HostStatus>
ParseHostStatus(std::string_view aBody)
{
  const Json body = ParseObject(aBody);
  FieldReader fields(body);
  HostStatus status;
  status.host = HostId(fields.Text("host"));
  status.zone = ZoneId(fields.Text("zone"));
  status.revision = Revision(fields.Count("revision"));
  status.confirmedAge = ReadMilliseconds(fields, "confirmed_age_ms");
  status.stale = fields.Flag("stale");
  status.leader = HostId(fields.Text("leader"));
  status.term = Term(fields.Count("term"));
  status.leaseHeld = fields.Flag("lease_held");
  status.peers = ReadObjects<PeerStatus>(fields, "peers", ReadPeerStatus);
  status.targets = ReadObjects<TargetStatus>(fields, "targets", ReadTargetStatus);
  status.rollouts = ReadObjects<RolloutStatus>(fields, "rollouts", ReadRolloutStatus);
  return Finish(fields, std::move(status));
}

Error
ParseErrorBody(int aStatus, std::string_view aBody)
{
  const Json body = ParseObject(aBody);
  FieldReader fields(body);
  const Json& details = fields.Object("error");
  FieldReader error(details);
  const std::string code = error.Text("code");
  std::string message = error.Text("message");
  if (message.empty()) {
    return Error{ ErrorKind::Internal,
                  Concat("the host responded with HTTP status ", aStatus),
                  "check that this is the operators' address of the host" };
  }
  for (int kind = 0; kind <= static_cast<int>(ErrorKind::Internal); ++kind) {
    if (ErrorKindName(static_cast<ErrorKind>(kind)) == code) {
      return Error{ static_cast<ErrorKind>(kind), std::move(message), "" };
    }
  }
  return Error{ ErrorKind::Internal, std::move(message), "" };
}

std::string
FormatWallTime(WallTime aTime)
{
  return absl::FormatTime("%Y-%m-%dT%H:%M:%SZ", absl::FromChrono(aTime), absl::UTCTimeZone());
}

} // namespace damasklink
