// Scopes, names and keys of the prompt parts that targets and stores cache.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "damasklink/state/Ids.h"

namespace damasklink {

// Hash of a part's scope and id. Parts with equal keys have the same cache content.
using PartKey = NumberId<struct PartKeyTag>;

// Scope of a cached part. Parts of different scopes are never shared.
struct PartScope
{
  ModelName model;
  std::uint64_t weights = 0;
  // Set only for a workspace that is isolated from the others.
  WorkspaceId isolatedWorkspace;
  // The regions that the call may not leave, as one text; empty if it is unrestricted.
  std::string allowedRegions;
  // Set only for parts that workspaces share: RouteTable::IsolationDigest().
  std::string isolationDigest;

  bool operator==(const PartScope&) const = default;
};

// Returns a scope in the text form that is sent to targets and stores.
std::string
FormatPartScope(const PartScope& aScope);

// Parses the text form of a scope. Returns nothing if FormatPartScope() cannot have written it.
std::optional<PartScope>
ParsePartScope(std::string_view aText);

// Scope and id of a part, as a store lists it.
struct PartName
{
  std::string scope;
  std::string id;

  bool operator==(const PartName&) const = default;
};

// Returns the key of a part. It is the same in all builds, since hosts exchange it.
PartKey
MakePartKey(std::string_view aScope, std::string_view aPart);

// Key and length of a part.
struct SizedPart
{
  PartKey key;
  TokenCount tokens;

  bool operator==(const SizedPart&) const = default;
};

} // namespace damasklink
