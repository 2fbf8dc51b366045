#include "damasklink/state/RevisionedTree.h"

namespace damasklink {
namespace {

// Whether the content is of the kind that the name asks for.
bool
KindAgrees(const SubtreeName& aName, const SharedContent& aContent)
{
  if (aContent == nullptr) {
    return true;
  }
  switch (aName.kind) {
    case SubtreeKind::Defaults:
      return std::holds_alternative<SubtreePolicy>(*aContent);
    case SubtreeKind::Deployments:
      return std::holds_alternative<DeploymentSet>(*aContent);
    case SubtreeKind::Workspace:
      return std::holds_alternative<WorkspaceNode>(*aContent);
  }
  return false;
}

} // namespace

Revision
RevisionedTree::VersionOf(const SubtreeName& aName) const
{
  const auto found = this->subtrees.find(aName);
  return found == this->subtrees.end() ? Revision() : found->second.version;
}

Subtree
RevisionedTree::Get(const SubtreeName& aName) const
{
  const auto found = this->subtrees.find(aName);
  return Subtree{ aName, found == this->subtrees.end() ? nullptr : found->second.content };
}

void
RevisionedTree::Apply(const TreeChange& aChange)
{
  this->revision = aChange.revision;
  this->subtrees[aChange.subtree.name] = Entry{ aChange.revision, aChange.subtree.content };
}

const SubtreePolicy&
RevisionedTree::Defaults() const
{
  static const SubtreePolicy kNone;
  const Subtree subtree = this->Get(SubtreeName{ SubtreeKind::Defaults, {} });
  // The tree keeps the content alive.
  return subtree.content == nullptr ? kNone : std::get<SubtreePolicy>(*subtree.content);
}

const DeploymentSet&
RevisionedTree::Deployments() const
{
  static const DeploymentSet kNone;
  const Subtree subtree = this->Get(SubtreeName{ SubtreeKind::Deployments, {} });
  return subtree.content == nullptr ? kNone : std::get<DeploymentSet>(*subtree.content);
}

const WorkspaceNode*
RevisionedTree::Workspace(const WorkspaceId& aId) const
{
  return WorkspaceOf(this->Get(WorkspaceSubtree(aId)));
}

std::vector<SubtreeName>
RevisionedTree::Names() const
{
  std::vector<SubtreeName> names;
  names.reserve(this->subtrees.size());
  for (const auto& [name, entry] : this->subtrees) {
    if (entry.content != nullptr) {
      names.push_back(name);
    }
  }
  return names;
}

void
RevisionedTree::Pack(CompactWriter& aTo) const
{
  aTo.Id(this->revision).Number(this->subtrees.size());
  for (const auto& [name, entry] : this->subtrees) {
    PackSubtreeName(name, aTo);
    aTo.Id(entry.version);
    PackContent(entry.content, aTo);
  }
}

RevisionedTree
RevisionedTree::Unpack(CompactReader& aFrom)
{
  RevisionedTree tree;
  tree.revision = aFrom.NumberAs<Revision>();
  const std::size_t count = aFrom.Count();
  for (std::size_t index = 0; index < count && !aFrom.Bad(); ++index) {
    SubtreeName name = UnpackSubtreeName(aFrom);
    Entry entry;
    entry.version = aFrom.NumberAs<Revision>();
    entry.content = UnpackContent(aFrom);
    const bool fits = KindAgrees(name, entry.content) && entry.version <= tree.revision;
    if (!fits) {
      aFrom.MarkBad();
      return tree;
    }
    tree.subtrees.emplace(std::move(name), std::move(entry));
  }
  return tree;
}

std::string
PackChange(const TreeChange& aChange)
{
  CompactWriter writer;
  writer.Id(aChange.revision);
  PackSubtreeName(aChange.subtree.name, writer);
  PackContent(aChange.subtree.content, writer);
  return std::move(writer).Take();
}

Result<TreeChange>
UnpackChange(std::string_view aBytes)
{
  CompactReader reader(aBytes);
  TreeChange change;
  change.revision = reader.NumberAs<Revision>();
  change.subtree.name = UnpackSubtreeName(reader);
  change.subtree.content = UnpackContent(reader);
  if (!reader.AtCleanEnd() || !KindAgrees(change.subtree.name, change.subtree.content)) {
    return Fail(ErrorKind::Corrupt,
                "a change of the tree cannot be read",
                "check that all hosts run versions that are next to each other");
  }
  return change;
}

} // namespace damasklink
