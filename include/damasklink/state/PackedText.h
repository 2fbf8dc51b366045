// Texts packed for the way to another host: whole, or against an earlier text that the host has.
//
//   std::string packed = PackText(newer, older);
//   Result<std::string> text = UnpackText(packed, older, kMostBytes);
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "damasklink/state/Error.h"

namespace damasklink {

// Returns the text in as few bytes as it takes with the base at hand; an empty base stands for
// none. The same texts give the same bytes on all hosts of one program version.
std::string
PackText(std::string_view aText, std::string_view aBase);

// Returns the text. Fails with Corrupt when the bytes are damaged, were packed against another
// base, or hold more than aMostBytes.
Result<std::string>
UnpackText(std::string_view aPacked, std::string_view aBase, std::size_t aMostBytes);

} // namespace damasklink
