#include "damasklink/coordination/EventFramer.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace damasklink {
namespace {

constexpr std::string_view kIdField = "id:";

// Returns where the last whole event ends, 0 for none. Lines end with LF or CR LF.
std::size_t
EndOfWholeEvents(std::string_view aBytes)
{
  std::size_t end = 0;
  for (const std::string_view mark : { std::string_view("\n\n"), std::string_view("\n\r\n") }) {
    const std::size_t found = aBytes.rfind(mark);
    if (found != std::string_view::npos) {
      end = std::max(end, found + mark.size());
    }
  }
  return end;
}

} // namespace

std::string
EventFramer::Append(std::string_view aBytes)
{
  this->rest.append(aBytes);
  const std::size_t end = EndOfWholeEvents(this->rest);
  if (end == 0) {
    return "";
  }
  std::string whole = this->rest.substr(0, end);
  this->rest.erase(0, whole.size());
  this->UpdateLastId(whole);
  return whole;
}

std::string
EventFramer::DiscardPartialEvent()
{
  return std::exchange(this->rest, {});
}

void
EventFramer::UpdateLastId(std::string_view aEvents)
{
  // Only the last id counts.
  std::size_t at = aEvents.rfind(kIdField);
  while (at != std::string_view::npos && at > 0 && aEvents[at - 1] != '\n') {
    at = aEvents.rfind(kIdField, at - 1);
  }
  if (at == std::string_view::npos) {
    return;
  }
  std::string_view text = aEvents.substr(at + kIdField.size());
  text.remove_prefix(std::min(text.find_first_not_of(' '), text.size()));
  std::uint64_t id = 0;
  const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), id);
  if (error == std::errc()) {
    this->lastEvent = id;
  }
}

} // namespace damasklink
