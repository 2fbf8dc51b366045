#include "damasklink/coordination/EventFramer.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace damasklink {
namespace {

constexpr std::string_view kIdField = "id:";

// Bytes of the longest separator of events.
constexpr std::size_t kMaxSeparatorBytes = 3;

// Returns the end of the last complete event, 0 if there is none. Lines end with LF or CR LF. No
// event ends within the first aSearched bytes.
std::size_t
FindEndOfLastEvent(std::string_view aBytes, std::size_t aSearched)
{
  const std::size_t from = aSearched - std::min(aSearched, kMaxSeparatorBytes - 1);
  const std::string_view rest = aBytes.substr(from);
  std::size_t end = 0;
  for (const std::string_view separator :
       { std::string_view("\n\n"), std::string_view("\n\r\n") }) {
    const std::size_t found = rest.rfind(separator);
    if (found != std::string_view::npos) {
      end = std::max(end, from + found + separator.size());
    }
  }
  return end;
}

} // namespace

std::string
EventFramer::Append(std::string_view aBytes)
{
  const std::size_t searched = this->buffer.size();
  this->buffer.append(aBytes);
  const std::size_t end = FindEndOfLastEvent(this->buffer, searched);
  if (end == 0) {
    return "";
  }
  std::string events = this->buffer.substr(0, end);
  this->buffer.erase(0, events.size());
  this->UpdateLastId(events);
  return events;
}

std::string
EventFramer::DiscardPartialEvent()
{
  return std::exchange(this->buffer, {});
}

void
EventFramer::UpdateLastId(std::string_view aEvents)
{
  // Only the last id is needed. It must be at the beginning of a line.
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
