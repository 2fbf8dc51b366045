#include "damasklink/coordination/ConfigStateMachine.h"

#include <set>

#include "damasklink/state/ConfigNarrowing.h"
#include "damasklink/state/Text.h"

namespace damasklink {
namespace {

constexpr std::uint64_t kSnapshotVersion = 1;

// Returns the path and the problem of the first widening, or an empty text.
std::string
DescribeFirst(const std::vector<Widening>& aWidenings)
{
  if (aWidenings.empty()) {
    return "";
  }
  std::string path;
  for (const std::string& step : aWidenings.front().path) {
    path += path.empty() ? step : Concat(".", step);
  }
  return Concat(path, ": ", aWidenings.front().problem);
}

std::string
FindDeploymentProblem(const DeploymentSet& aDeployments)
{
  std::set<TargetId> seen;
  for (const auto& [name, deployment] : aDeployments) {
    for (const TargetId& target : deployment.targets) {
      if (!seen.insert(target).second) {
        return Concat("engine '", target.Value(), "' is listed twice");
      }
    }
    if (deployment.targets.empty() || deployment.keepServing >= deployment.targets.size()) {
      return Concat("deployment '", name.Value(), "' leaves no engine free to load new weights");
    }
  }
  return "";
}

// Covers the base version and the content, but neither id nor author, so that a resent change has
// the same fingerprint.
ChangeAnswerCache::Fingerprint
FingerprintOfChange(const ConfigChange& aChange)
{
  CompactWriter writer;
  writer.Id(aChange.base);
  PackSubtreeName(aChange.subtree.name, writer);
  PackContent(aChange.subtree.content, writer);
  return FingerprintOf(std::move(writer).Take());
}

} // namespace

ConfigStateMachine::ConfigStateMachine(CommittedTreeObserver* aListener)
  : listener(aListener)
{
}

std::string
ConfigStateMachine::Apply(const ApplyContext& aContext, std::string_view aCommand)
{
  CompactReader reader(aCommand);
  const std::uint64_t command = reader.Number();
  if (command == static_cast<std::uint64_t>(internal::ConfigCommand::History)) {
    return this->AnswerHistory(reader);
  }
  if (command == static_cast<std::uint64_t>(internal::ConfigCommand::Change)) {
    const ConfigChange change = internal::UnpackChangeBody(reader);
    if (reader.AtCleanEnd()) {
      return PackChangeAnswer(this->ApplyChange(aContext, change));
    }
  } else if (command == static_cast<std::uint64_t>(internal::ConfigCommand::Seed)) {
    const auto id = reader.Id<ChangeId>();
    const std::string author(reader.Text());
    RevisionedTree seed = RevisionedTree::Unpack(reader);
    if (reader.AtCleanEnd()) {
      return PackChangeAnswer(this->ApplySeed(aContext, id, author, std::move(seed)));
    }
  }
  return PackChangeAnswer(
    ChangeAnswer{ ChangeVerdict::Refused, Revision(), "cannot decode the change" });
}

std::string
ConfigStateMachine::AnswerHistory(CompactReader& aQuery) const
{
  const std::size_t most = aQuery.Number();
  std::optional<SubtreeName> name;
  if (aQuery.Flag()) {
    name = UnpackSubtreeName(aQuery);
  }
  return PackHistory(this->History(name, most));
}

ChangeAnswer
ConfigStateMachine::ApplyChange(const ApplyContext& aContext, const ConfigChange& aChange)
{
  const ChangeAnswerCache::Fingerprint content = FingerprintOfChange(aChange);
  if (auto kept = this->answers.Find(aChange.id, content)) {
    return *kept;
  }
  const Revision inForce = this->tree.VersionOf(aChange.subtree.name);
  ChangeAnswer answer;
  answer.revision = inForce;
  if (aChange.base != inForce) {
    answer.verdict = ChangeVerdict::Conflict;
    answer.problem = Concat(FormatSubtreeName(aChange.subtree.name),
                            " is at version ",
                            inForce.Value(),
                            ", but the change is based on version ",
                            aChange.base.Value());
  } else if (std::string problem = this->FindProblem(aChange); !problem.empty()) {
    answer.verdict = ChangeVerdict::Refused;
    answer.problem = std::move(problem);
  } else {
    this->Install(aContext, aChange);
    answer.verdict = ChangeVerdict::Accepted;
    answer.revision = this->tree.Current();
  }
  this->answers.Keep(aChange.id, content, answer);
  return answer;
}

ChangeAnswer
ConfigStateMachine::ApplySeed(const ApplyContext& aContext,
                              const ChangeId& aId,
                              const std::string& aAuthor,
                              RevisionedTree aTree)
{
  if (this->tree.Current() != Revision()) {
    return ChangeAnswer{ ChangeVerdict::Conflict,
                         this->tree.Current(),
                         Concat("the tree is not empty, it is at revision ",
                                this->tree.Current().Value()) };
  }
  this->tree = std::move(aTree);
  for (const SubtreeName& name : this->tree.Names()) {
    this->RegisterKeys(name, WorkspaceOf(this->tree.Get(name)));
    this->Remember(
      HistoryEntry{ this->tree.VersionOf(name), aContext.proposedAt, aId, aAuthor, name, false });
  }
  if (this->listener != nullptr) {
    this->listener->OnTree(this->tree);
  }
  return ChangeAnswer{ ChangeVerdict::Accepted, this->tree.Current(), "" };
}

std::string
ConfigStateMachine::FindProblem(const ConfigChange& aChange) const
{
  const SubtreeName& name = aChange.subtree.name;
  if (aChange.subtree.content == nullptr) {
    const bool exists = this->tree.Get(name).content != nullptr;
    return exists ? "" : Concat(FormatSubtreeName(name), " does not exist");
  }
  const SubtreeContent& content = *aChange.subtree.content;
  if (name.kind == SubtreeKind::Defaults && std::holds_alternative<SubtreePolicy>(content)) {
    return DescribeFirst(FindWidening(SubtreePolicy(), std::get<SubtreePolicy>(content)));
  }
  if (name.kind == SubtreeKind::Deployments && std::holds_alternative<DeploymentSet>(content)) {
    return FindDeploymentProblem(std::get<DeploymentSet>(content));
  }
  const auto* workspace = std::get_if<WorkspaceNode>(&content);
  if (name.kind != SubtreeKind::Workspace || workspace == nullptr || name.workspace.Empty()) {
    return Concat(FormatSubtreeName(name), " has content of another kind");
  }
  std::string widening = DescribeFirst(FindWidening(this->tree.Defaults(), *workspace));
  return widening.empty() ? this->FindKeyProblem(name.workspace, *workspace) : widening;
}

std::string
ConfigStateMachine::FindKeyProblem(const WorkspaceId& aId, const WorkspaceNode& aWorkspace) const
{
  std::set<DigestBytes> own;
  for (const auto& [teamId, team] : aWorkspace.teams) {
    for (const Digest& key : team.keys) {
      if (!IsDigest(key)) {
        return Concat("teams.", teamId.Value(), ".keys contains an entry that is not a digest");
      }
      const DigestBytes packed = PackDigest(key);
      const auto holder = this->keyHolders.find(packed);
      const bool heldElsewhere = holder != this->keyHolders.end() && holder->second != aId;
      if (heldElsewhere || !own.insert(packed).second) {
        return Concat("teams.", teamId.Value(), ".keys contains a key that another team holds");
      }
    }
  }
  return "";
}

void
ConfigStateMachine::Install(const ApplyContext& aContext, const ConfigChange& aChange)
{
  const SubtreeName& name = aChange.subtree.name;
  // Shares ownership of the old content while its keys are unregistered.
  const Subtree before = this->tree.Get(name);
  this->UnregisterKeys(WorkspaceOf(before));
  const TreeChange accepted{ this->tree.Current().Next(), aChange.subtree };
  this->tree.Apply(accepted);
  this->RegisterKeys(name, WorkspaceOf(aChange.subtree));
  this->Remember(HistoryEntry{ accepted.revision,
                               aContext.proposedAt,
                               aChange.id,
                               aChange.author,
                               name,
                               aChange.subtree.content == nullptr });
  if (this->listener != nullptr) {
    this->listener->OnChange(accepted);
  }
}

void
ConfigStateMachine::Remember(HistoryEntry aEntry)
{
  this->history.push_back(std::move(aEntry));
  if (this->history.size() > kKeptHistory) {
    this->history.pop_front();
  }
}

void
ConfigStateMachine::RegisterKeys(const SubtreeName& aName, const WorkspaceNode* aWorkspace)
{
  if (aWorkspace == nullptr) {
    return;
  }
  for (const auto& [teamId, team] : aWorkspace->teams) {
    for (const Digest& key : team.keys) {
      this->keyHolders[PackDigest(key)] = aName.workspace;
    }
  }
}

void
ConfigStateMachine::UnregisterKeys(const WorkspaceNode* aWorkspace)
{
  if (aWorkspace == nullptr) {
    return;
  }
  for (const auto& [teamId, team] : aWorkspace->teams) {
    for (const Digest& key : team.keys) {
      this->keyHolders.erase(PackDigest(key));
    }
  }
}

std::string
ConfigStateMachine::Save() const
{
  CompactWriter writer;
  writer.Number(kSnapshotVersion);
  this->tree.Pack(writer);
  writer.Number(this->history.size());
  for (const HistoryEntry& entry : this->history) {
    internal::PackHistoryEntry(entry, writer);
  }
  this->answers.Pack(writer);
  return std::move(writer).Take();
}

Result<void>
ConfigStateMachine::Load(std::string_view aSnapshot)
{
  CompactReader reader(aSnapshot);
  const std::uint64_t version = reader.Number();
  ConfigStateMachine loaded;
  loaded.tree = RevisionedTree::Unpack(reader);
  const std::size_t entries = reader.Count();
  for (std::size_t index = 0; index < entries && !reader.Bad(); ++index) {
    loaded.history.push_back(internal::UnpackHistoryEntry(reader));
  }
  loaded.answers = ChangeAnswerCache::Unpack(reader);
  if (version != kSnapshotVersion || !reader.AtCleanEnd()) {
    return Fail(ErrorKind::Corrupt,
                Concat("the configuration snapshot of format version ", version, " cannot be read"),
                "run the program version that wrote it, or restore this host from its group");
  }
  for (const SubtreeName& name : loaded.tree.Names()) {
    loaded.RegisterKeys(name, WorkspaceOf(loaded.tree.Get(name)));
  }
  loaded.listener = this->listener;
  *this = std::move(loaded);
  if (this->listener != nullptr) {
    this->listener->OnTree(this->tree);
  }
  return Success();
}

std::vector<HistoryEntry>
ConfigStateMachine::History(const std::optional<SubtreeName>& aName, std::size_t aMost) const
{
  std::vector<HistoryEntry> found;
  for (auto entry = this->history.rbegin(); entry != this->history.rend(); ++entry) {
    if (found.size() >= aMost) {
      break;
    }
    if (!aName || entry->subtree == *aName) {
      found.push_back(*entry);
    }
  }
  return found;
}

} // namespace damasklink
