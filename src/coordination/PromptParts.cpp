#include "damasklink/coordination/PromptParts.h"

#include <charconv>
#include <cstring>

#include "damasklink/state/Digests.h"
#include "damasklink/state/Text.h"

namespace damasklink {

namespace {

// Stands between the wall and the home regions, where there are any.
constexpr char kHomeRegionsSeparator = ';';

} // namespace

std::string
FormatPartScope(const PartScope& aScope)
{
  std::string scope =
    Concat(aScope.model.Value(), "/", aScope.weights, "/", aScope.isolatedWorkspace.Value());
  if (!aScope.homeRegions.empty()) {
    scope += kHomeRegionsSeparator + aScope.homeRegions;
  }
  return scope;
}

std::optional<PartScope>
ParsePartScope(std::string_view aText)
{
  // Neither versions nor the names of workspaces hold a slash; a model's name may.
  const std::size_t last = aText.rfind('/');
  const std::size_t middle =
    last == std::string_view::npos || last == 0 ? last : aText.rfind('/', last - 1);
  if (last == std::string_view::npos || middle == std::string_view::npos) {
    return std::nullopt;
  }
  PartScope scope;
  scope.model = ModelName(std::string(aText.substr(0, middle)));
  const std::string_view owner = aText.substr(last + 1);
  const std::size_t homes = owner.find(kHomeRegionsSeparator);
  scope.isolatedWorkspace = WorkspaceId(std::string(owner.substr(0, homes)));
  if (homes != std::string_view::npos) {
    scope.homeRegions = std::string(owner.substr(homes + 1));
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
  // A character that neither text holds stands between them.
  const DigestBytes digest = PackedDigestOf(Concat(aScope, "\n", aPart));
  std::uint64_t key = 0;
  std::memcpy(&key, digest.data(), sizeof(key));
  return PartKey(key);
}

} // namespace damasklink
