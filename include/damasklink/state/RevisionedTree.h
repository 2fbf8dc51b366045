// The tree as it stands at one revision, changed one subtree at a time.
#pragma once

#include <map>

#include "damasklink/state/Subtree.h"

namespace damasklink {

// One accepted change: the subtree as it is from this revision on.
struct TreeChange
{
  Revision revision;
  Subtree subtree;
};

// Holds each subtree with the revision that last changed it.
//
//   RevisionedTree tree;
//   tree.Apply({ tree.Current().Next(), { WorkspaceSubtree(id), content } });
//
// A deleted subtree keeps its version, so that a change made from before its deletion conflicts and
// one that makes it anew is not taken for a resend. Copies share the subtrees' contents. Equal
// bytes from Pack() mean equal trees. Not thread-safe.
class RevisionedTree
{
public:
  Revision Current() const { return this->revision; }

  // Returns the revision at which the subtree last changed, its deletion included; zero when it
  // never existed.
  Revision VersionOf(const SubtreeName& aName) const;

  // Returns the subtree; its content is null when it does not exist.
  Subtree Get(const SubtreeName& aName) const;

  // Requires a revision above the current one.
  void Apply(const TreeChange& aChange);

  // Returns the defaults, empty ones when there are none.
  const SubtreePolicy& Defaults() const;
  const DeploymentSet& Deployments() const;
  // Returns nullptr when the workspace does not exist.
  const WorkspaceNode* Workspace(const WorkspaceId& aId) const;

  // Returns the names of all subtrees that exist, in order.
  std::vector<SubtreeName> Names() const;

  void Pack(CompactWriter& aTo) const;
  // Turns the reader bad when the bytes are no tree.
  static RevisionedTree Unpack(CompactReader& aFrom);

private:
  struct Entry
  {
    Revision version;
    SharedContent content;
  };

  Revision revision;
  std::map<SubtreeName, Entry> subtrees;
};

// Packs one change, for the wire.
std::string
PackChange(const TreeChange& aChange);

// Fails with Corrupt.
Result<TreeChange>
UnpackChange(std::string_view aBytes);

} // namespace damasklink
