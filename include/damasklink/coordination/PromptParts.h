// Names of the parts of prompts that targets and stores cache.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "damasklink/state/Ids.h"

namespace damasklink {

// Names a part under one scope (workspace wall, model, weights): equal keys, equal cache.
using PartKey = NumberId<struct PartKeyTag>;

// What keeps the cached parts of a prompt apart.
struct PartScope
{
  ModelName model;
  std::uint64_t weights = 0;
  // Set for an isolated workspace only.
  WorkspaceId isolatedWorkspace;
  // The home regions of the call as one text; empty where it may go anywhere.
  std::string homeRegions;

  bool operator==(const PartScope&) const = default;
};

// Returns the text of a scope, as targets and stores are told it.
std::string
FormatPartScope(const PartScope& aScope);

// Returns what a scope's text says, nothing for a text that FormatPartScope() did not make.
std::optional<PartScope>
ParsePartScope(std::string_view aText);

// A part as a store lists it.
struct PartName
{
  std::string scope;
  std::string id;

  bool operator==(const PartName&) const = default;
};

// Returns the key of a part; the same in all builds.
PartKey
MakePartKey(std::string_view aScope, std::string_view aPart);

// A part as look-ups need it.
struct SizedPart
{
  PartKey key;
  TokenCount tokens;

  bool operator==(const SizedPart&) const = default;
};

} // namespace damasklink
