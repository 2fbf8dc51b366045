// The parts of the tree that change as one: the defaults, the deployments, and each workspace.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "damasklink/state/CompactCodec.h"
#include "damasklink/state/ConfigTree.h"

namespace damasklink {

enum class SubtreeKind : std::uint8_t
{
  Defaults = 1,
  Deployments = 2,
  Workspace = 3,
};

// Names a subtree: "defaults", "deployments" or "workspaces/<id>".
struct SubtreeName
{
  SubtreeKind kind = SubtreeKind::Defaults;
  // Empty but for a workspace.
  WorkspaceId workspace;

  // clang-tidy 14 mistakes the generated comparison with zero for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const SubtreeName&) const = default;
};

SubtreeName
WorkspaceSubtree(WorkspaceId aWorkspace);

std::string
FormatSubtreeName(const SubtreeName& aName);

// Fails with InvalidArgument naming the three forms.
Result<SubtreeName>
ParseSubtreeName(std::string_view aText);

// What a subtree holds; the alternative follows from its name.
using SubtreeContent = std::variant<SubtreePolicy, DeploymentSet, WorkspaceNode>;

// Shared between the replicated state, the host's own tree and the traffic threads' picture, and
// never changed once made; null where a subtree does not exist.
using SharedContent = std::shared_ptr<const SubtreeContent>;

// One subtree with its name.
struct Subtree
{
  SubtreeName name;
  SharedContent content;
};

// Returns the workspace, or nullptr when the subtree is deleted or another kind.
const WorkspaceNode*
WorkspaceOf(const Subtree& aSubtree);

// Returns the subtrees that a tree holds: those that its files write down.
std::vector<Subtree>
SplitTree(const ConfigTree& aTree);

// Returns the canonical text: the same for equal content, and ParseConfigSources() reads it back
// as a tree with this one subtree. Empty for null content.
std::string
FormatSubtree(const Subtree& aSubtree);

// Packs the content, for storage and for the wire. Null content packs as "deleted".
void
PackContent(const SharedContent& aContent, CompactWriter& aTo);

// Reads packed content; turns the reader bad when the bytes are none.
SharedContent
UnpackContent(CompactReader& aFrom);

void
PackSubtreeName(const SubtreeName& aName, CompactWriter& aTo);

SubtreeName
UnpackSubtreeName(CompactReader& aFrom);

// Returns lines with "-" for what only aBefore has, "+" for what only aAfter has and " " for both.
std::string
DiffLines(std::string_view aBefore, std::string_view aAfter);

} // namespace damasklink
