// Helpers for Boost.Beast's types and errors. Internal to src/transport.
#pragma once

#include <string>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "damasklink/transport/EventLoop.h"

namespace damasklink::internal {

inline std::string
TextOf(boost::beast::string_view aText)
{
  return std::string(aText.data(), aText.size());
}

// Returns whether a response may have this status. The library reads any three digits.
inline bool
IsHttpStatus(unsigned aStatus)
{
  constexpr unsigned kMin = 100;
  constexpr unsigned kMax = 599;
  return aStatus >= kMin && aStatus <= kMax;
}

// Returns whether the bytes that were read are not valid HTTP. Returns false for messages that are
// only incomplete.
inline bool
IsMalformed(const IoError& aError)
{
  namespace http = boost::beast::http;
  const auto& category = http::make_error_code(http::error::bad_method).category();
  return aError.category() == category && aError != http::error::end_of_stream &&
         aError != http::error::partial_message;
}

} // namespace damasklink::internal
