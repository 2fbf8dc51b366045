// Names of the parts of prompts that targets and stores cache.
#pragma once

#include <string_view>

#include "damasklink/state/Ids.h"

namespace damasklink {

// Names a part under one scope (workspace wall, model, weights): equal keys, equal cache.
using PartKey = NumberId<struct PartKeyTag>;

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
