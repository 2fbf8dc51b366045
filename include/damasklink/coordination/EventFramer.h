// Cuts the bytes of an event stream (text/event-stream) into whole events.
//
//   EventFramer framer;
//   std::string whole = framer.Append(piece);   // Whole events only; the rest is kept.
//   framer.LastEvent();                       // Id of the last event taken out.
//
// A target may stop in the middle of an event; what was passed on then ends with a whole one, so
// another target can go on behind it. Not thread-safe.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace damasklink {

class EventFramer
{
public:
  // Returns all events that are whole with these bytes, as they came.
  std::string Append(std::string_view aBytes);

  // Returns the id of the last event that was taken out, nothing while there was none.
  std::optional<std::uint64_t> LastEvent() const { return this->lastEvent; }

  // Whether bytes of an event that is not whole are kept.
  bool HasPartialEvent() const { return !this->rest.empty(); }

  // Returns the bytes of the event that is not whole, and forgets them: another target goes on.
  std::string DiscardPartialEvent();

private:
  void UpdateLastId(std::string_view aEvents);

  std::string rest;
  std::optional<std::uint64_t> lastEvent;
};

} // namespace damasklink
