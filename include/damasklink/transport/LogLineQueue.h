// Writes log lines to a reader that may be slow, without waiting for it.
//
//   LogLineQueue queue([](const std::string& aLine) { return TryWrite(aLine); });
//   queue.Add("time=... level=info event=request_ended ...");
//
// A line that cannot be written is dropped, but warnings and errors are kept in bounded memory and
// written before the next line that can be. The first line after a loss says how many lines of
// which events were dropped. Not thread-safe.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>

namespace damasklink {

class LogLineQueue
{
public:
  // Bytes of kept lines.
  static constexpr std::size_t kMostKeptBytes = std::size_t{ 256 } * 1024;
  // Events that are counted by name, and that a report names; the rest is counted together.
  static constexpr std::size_t kMostCounted = 64;
  static constexpr std::size_t kMostNamed = 16;

  // Writes a whole line, or nothing. Returns whether it did.
  using Write = std::function<bool(const std::string&)>;

  explicit LogLineQueue(Write aWrite)
    : write(std::move(aWrite))
  {
  }

  // Writes or keeps or drops the line. aLine has no end of line.
  void Add(std::string aLine);

private:
  // Writes what was kept, and the report of what was dropped. Returns whether nothing is left.
  bool Flush();
  void Drop(const std::string& aLine);
  std::string Report() const;

  Write write;
  std::deque<std::string> kept;
  std::size_t keptBytes = 0;
  std::map<std::string, std::uint64_t> droppedByEvent;
  std::uint64_t dropped = 0;
};

} // namespace damasklink
