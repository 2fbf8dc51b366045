// Splits the bytes of an event stream (text/event-stream) into complete events.
//
//   EventFramer framer;
//   std::string events = framer.Append(bytes);   // Complete events only; the rest is buffered.
//   framer.LastEvent();                          // Id of the last event returned.
//
// If a target stops in the middle of an event, the output still ends with a complete event, so that
// another target can continue the stream. Not thread-safe.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace damasklink {

class EventFramer
{
public:
  // An event beyond this size is no event: nothing that sends one is followed further.
  static constexpr std::size_t kMaxEventBytes = std::size_t{ 1024 } * 1024;

  // Adds bytes to the buffer and returns all events that are complete now, unchanged.
  std::string Append(std::string_view aBytes);

  // Returns the last id among the events returned, or nothing if none had an id.
  std::optional<std::uint64_t> LastEvent() const { return this->lastEvent; }

  // Returns whether the buffer has bytes of an incomplete event.
  bool HasPartialEvent() const { return !this->buffer.empty(); }

  // Returns how much of an incomplete event the buffer has.
  std::size_t PartialBytes() const { return this->buffer.size(); }

  // Removes the bytes of the incomplete event from the buffer and returns them. Call it before
  // another target continues the stream.
  std::string DiscardPartialEvent();

private:
  void UpdateLastId(std::string_view aEvents);

  std::string buffer;
  std::optional<std::uint64_t> lastEvent;
};

} // namespace damasklink
