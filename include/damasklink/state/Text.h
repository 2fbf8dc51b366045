// Joins texts and numbers; the bridge between std::string_view and Abseil.
//
// Debian builds Abseil with a string_view of its own that does not convert from the standard one.
#pragma once

#include <string>
#include <string_view>
#include <type_traits>

#include <absl/strings/str_cat.h>

namespace damasklink {

// Returns the same text as Abseil's type.
inline absl::string_view
ForAbsl(std::string_view aText)
{
  return absl::string_view(aText.data(), aText.size());
}

namespace internal {

// For Concat() only: what absl::StrCat() takes for a piece.
template<typename T>
auto
ConcatPiece(const T& aPiece)
{
  if constexpr (std::is_convertible_v<const T&, std::string_view>) {
    return ForAbsl(aPiece);
  } else {
    return aPiece;
  }
}

} // namespace internal

// Returns the pieces, texts and numbers, joined without anything between them.
//
//   Concat("revision ", 12, " is old");
template<typename... Pieces>
std::string
Concat(const Pieces&... aPieces)
{
  return absl::StrCat(internal::ConcatPiece(aPieces)...);
}

// Empties the text and gives back its memory, which assigning an empty text would keep.
inline void
FreeText(std::string& aText)
{
  std::string().swap(aText);
}

} // namespace damasklink
