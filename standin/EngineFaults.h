// Faults that a stand-in engine plays on some of its answers.
#pragma once

#include <cstdint>
#include <string>

#include "damasklink/state/Error.h"

namespace damasklink::standin {

enum class FaultKind
{
  None,
  Die,     // The process exits without a word.
  Cut,     // The connection closes without the end mark.
  Stall,   // Nothing comes any more while the connection stays open.
  Double,  // Every frame comes twice.
  Reorder, // Two frames change places.
  Refuse,  // The prompt is refused with status 503.
};

// A fault, and after how many tokens of an answer it strikes.
struct EngineFault
{
  FaultKind kind = FaultKind::None;
  std::uint64_t tokens = 0;
  // Strikes one answer in so many; 1 strikes all.
  std::uint64_t every = 1;
};

// Reads "cut:20" or "cut:20/3": kind, tokens, and one answer in how many; both numbers may be left
// out. Fails with InvalidArgument.
Result<EngineFault>
ParseEngineFault(const std::string& aText);

} // namespace damasklink::standin
