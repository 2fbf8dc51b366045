#include "damasklink/state/Subtree.h"

#include <algorithm>

#include <absl/strings/str_split.h>

#include "damasklink/state/Digests.h"
#include "damasklink/state/Text.h"

namespace damasklink {
namespace {

constexpr std::string_view kDefaults = "defaults";
constexpr std::string_view kDeployments = "deployments";
constexpr std::string_view kWorkspaces = "workspaces/";

// Above this many pairs of lines a diff shows the whole middle as replaced.
constexpr std::size_t kMostLinePairs = 4'000'000;

using Lines = std::vector<std::string>;

Lines
SplitLines(std::string_view aText)
{
  Lines lines = absl::StrSplit(ForAbsl(aText), '\n');
  if (!lines.empty() && lines.back().empty()) {
    lines.pop_back();
  }
  return lines;
}

void
AppendLines(char aMark, const Lines& aLines, std::size_t aFrom, std::size_t aTo, std::string& aOut)
{
  for (std::size_t index = aFrom; index < aTo; ++index) {
    aOut += aMark;
    aOut += aLines[index];
    aOut += '\n';
  }
}

// Lengths of the longest common subsequences of all suffixes.
class CommonLengths
{
public:
  CommonLengths(const Lines& aBefore, const Lines& aAfter)
    : width(aAfter.size() + 1)
    , lengths((aBefore.size() + 1) * this->width)
  {
    for (std::size_t left = aBefore.size(); left-- > 0;) {
      for (std::size_t right = aAfter.size(); right-- > 0;) {
        this->lengths[left * this->width + right] =
          aBefore[left] == aAfter[right]
            ? this->At(left + 1, right + 1) + 1
            : std::max(this->At(left + 1, right), this->At(left, right + 1));
      }
    }
  }

  std::size_t At(std::size_t aLeft, std::size_t aRight) const
  {
    return this->lengths[aLeft * this->width + aRight];
  }

private:
  std::size_t width;
  std::vector<std::size_t> lengths;
};

void
AppendDiff(const Lines& aBefore, const Lines& aAfter, std::string& aOut)
{
  const CommonLengths common(aBefore, aAfter);
  std::size_t left = 0;
  std::size_t right = 0;
  while (left < aBefore.size() && right < aAfter.size()) {
    if (aBefore[left] == aAfter[right]) {
      AppendLines(' ', aBefore, left, left + 1, aOut);
      ++left;
      ++right;
    } else if (common.At(left + 1, right) >= common.At(left, right + 1)) {
      AppendLines('-', aBefore, left, left + 1, aOut);
      ++left;
    } else {
      AppendLines('+', aAfter, right, right + 1, aOut);
      ++right;
    }
  }
  AppendLines('-', aBefore, left, aBefore.size(), aOut);
  AppendLines('+', aAfter, right, aAfter.size(), aOut);
}

} // namespace

SubtreeName
WorkspaceSubtree(WorkspaceId aWorkspace)
{
  return SubtreeName{ SubtreeKind::Workspace, std::move(aWorkspace) };
}

std::string
FormatSubtreeName(const SubtreeName& aName)
{
  switch (aName.kind) {
    case SubtreeKind::Defaults:
      return std::string(kDefaults);
    case SubtreeKind::Deployments:
      return std::string(kDeployments);
    case SubtreeKind::Workspace:
      break;
  }
  return Concat(kWorkspaces, aName.workspace.Value());
}

Result<SubtreeName>
ParseSubtreeName(std::string_view aText)
{
  if (aText == kDefaults) {
    return SubtreeName{ SubtreeKind::Defaults, {} };
  }
  if (aText == kDeployments) {
    return SubtreeName{ SubtreeKind::Deployments, {} };
  }
  if (aText.starts_with(kWorkspaces) && aText.size() > kWorkspaces.size()) {
    return WorkspaceSubtree(WorkspaceId(std::string(aText.substr(kWorkspaces.size()))));
  }
  return Fail(ErrorKind::InvalidArgument,
              Concat("'", aText, "' names no subtree"),
              "write defaults, deployments or workspaces/<name>");
}

const WorkspaceNode*
WorkspaceOf(const Subtree& aSubtree)
{
  return aSubtree.content == nullptr ? nullptr : std::get_if<WorkspaceNode>(aSubtree.content.get());
}

std::vector<Subtree>
SplitTree(const ConfigTree& aTree)
{
  std::vector<Subtree> subtrees;
  if (aTree.defaults != SubtreePolicy()) {
    subtrees.push_back({ SubtreeName{ SubtreeKind::Defaults, {} },
                         std::make_shared<const SubtreeContent>(aTree.defaults) });
  }
  for (const auto& [id, workspace] : aTree.workspaces) {
    subtrees.push_back({ WorkspaceSubtree(id), std::make_shared<const SubtreeContent>(workspace) });
  }
  if (!aTree.deployments.empty()) {
    subtrees.push_back({ SubtreeName{ SubtreeKind::Deployments, {} },
                         std::make_shared<const SubtreeContent>(aTree.deployments) });
  }
  return subtrees;
}

std::string
DiffLines(std::string_view aBefore, std::string_view aAfter)
{
  const Lines before = SplitLines(aBefore);
  const Lines after = SplitLines(aAfter);
  std::string out;
  if (before.size() * after.size() > kMostLinePairs) {
    AppendLines('-', before, 0, before.size(), out);
    AppendLines('+', after, 0, after.size(), out);
    return out;
  }
  AppendDiff(before, after, out);
  return out;
}

} // namespace damasklink
