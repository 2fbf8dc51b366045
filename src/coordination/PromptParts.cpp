#include "damasklink/coordination/PromptParts.h"

#include <charconv>
#include <cstring>

#include "damasklink/state/Digests.h"
#include "damasklink/state/Text.h"

namespace damasklink {

namespace {

// Separates the workspace from the allowed regions, if there are any.
constexpr char kAllowedRegionsSeparator = ';';

} // namespace

std::string
FormatPartScope(const PartScope& aScope)
{
  std::string scope =
    Concat(aScope.model.Value(), "/", aScope.weights, "/", aScope.isolatedWorkspace.Value());
  if (!aScope.allowedRegions.empty()) {
    scope += kAllowedRegionsSeparator + aScope.allowedRegions;
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
  const std::string_view owner = aText.substr(last + 1);
  const std::size_t separator = owner.find(kAllowedRegionsSeparator);
  scope.isolatedWorkspace = WorkspaceId(std::string(owner.substr(0, separator)));
  if (separator != std::string_view::npos) {
    scope.allowedRegions = std::string(owner.substr(separator + 1));
  }
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
