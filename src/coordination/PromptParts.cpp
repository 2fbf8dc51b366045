#include "damasklink/coordination/PromptParts.h"

#include <charconv>
#include <cstring>

#include "damasklink/state/Digests.h"
#include "damasklink/state/Text.h"

namespace damasklink {

namespace {

// Separates the workspace, the allowed regions and the isolation digest. Empty ones at the end are
// left out.
constexpr char kFieldSeparator = ';';

// Returns the text up to the next separator and removes both from aRest.
std::string
TakeField(std::string_view& aRest)
{
  const std::size_t separator = aRest.find(kFieldSeparator);
  std::string field(aRest.substr(0, separator));
  aRest.remove_prefix(separator == std::string_view::npos ? aRest.size() : separator + 1);
  return field;
}

} // namespace

std::string
FormatPartScope(const PartScope& aScope)
{
  std::string scope =
    Concat(aScope.model.Value(), "/", aScope.weights, "/", aScope.isolatedWorkspace.Value());
  if (!aScope.allowedRegions.empty() || !aScope.isolationDigest.empty()) {
    scope += kFieldSeparator + aScope.allowedRegions;
  }
  if (!aScope.isolationDigest.empty()) {
    scope += kFieldSeparator + aScope.isolationDigest;
  }
  return scope;
}

std::optional<PartScope>
ParsePartScope(std::string_view aText)
{
  // Versions and workspace names contain no slash; a model name may.
  const std::size_t last = aText.rfind('/');
  const std::size_t middle =
    last == std::string_view::npos || last == 0 ? last : aText.rfind('/', last - 1);
  if (last == std::string_view::npos || middle == std::string_view::npos) {
    return std::nullopt;
  }
  PartScope scope;
  scope.model = ModelName(std::string(aText.substr(0, middle)));
  std::string_view fields = aText.substr(last + 1);
  scope.isolatedWorkspace = WorkspaceId(TakeField(fields));
  scope.allowedRegions = TakeField(fields);
  scope.isolationDigest = TakeField(fields);
  const std::string_view version = aText.substr(middle + 1, last - middle - 1);
  const char* end = version.data() + version.size();
  const auto [stop, error] = std::from_chars(version.data(), end, scope.weights);
  const bool read = error == std::errc() && stop == end;
  return read ? std::optional(scope) : std::nullopt;
}

PartKey
MakePartKey(std::string_view aScope, std::string_view aPart)
{
  // The separator occurs in neither text.
  const DigestBytes digest = PackedDigestOf(Concat(aScope, "\n", aPart));
  std::uint64_t key = 0;
  std::memcpy(&key, digest.data(), sizeof(key));
  return PartKey(key);
}

} // namespace damasklink
