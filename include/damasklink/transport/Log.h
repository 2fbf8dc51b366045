// Structured logging: each event is one line of key=value pairs. SetLogLevel() and LogEvent are
// thread-safe.
#pragma once

#include <sstream>
#include <string>
#include <string_view>

#include "damasklink/state/Ids.h"

namespace damasklink {

enum class LogLevel
{
  Debug,
  Info,
  Warning,
  Error,
};

// Starts logging to standard error. Must be called once, before the first event.
void
StartLogging(LogLevel aLevel);

// Writes all further events to standard output instead, as processes of a serving deployment do.
// Never blocks: a line that cannot be written at once is dropped, and the number of dropped lines
// is written before the next line.
void
LogToStandardOutput();

// Changes the level of the process.
void
SetLogLevel(LogLevel aLevel);

// Parses "debug", "info", "warning" or "error". Returns false and leaves aTo unchanged for any
// other text.
bool
ParseLogLevel(std::string_view aText, LogLevel& aTo);

// Returns the value as written in a line: quoted and escaped if necessary.
std::string
QuoteLogValue(std::string_view aValue);

// Lines per second and event name. Further lines are only counted, and the next line that is
// written has the count under left_out. A host that fails 100 calls per second still logs each of
// them; a faster storm of one event does not load the disk or the processor.
constexpr int kMaxLinesPerSecond = 100;

// One event, written when the object goes out of scope. Never pass prompt text or keys.
//
//   LogEvent(LogLevel::Info, "request_done").With("request", id).With("status", 200);
class LogEvent
{
public:
  LogEvent(LogLevel aLevel, std::string_view aName);
  ~LogEvent();
  LogEvent(const LogEvent&) = delete;
  LogEvent& operator=(const LogEvent&) = delete;

  LogEvent& With(std::string_view aKey, std::string_view aValue);
  LogEvent& With(std::string_view aKey, const char* aValue)
  {
    return this->With(aKey, std::string_view(aValue));
  }

  template<typename Tag>
  LogEvent& With(std::string_view aKey, const StringId<Tag>& aId)
  {
    return this->With(aKey, std::string_view(aId.Value()));
  }

  template<typename T>
  LogEvent& With(std::string_view aKey, const T& aValue)
  {
    std::ostringstream text;
    text << aValue;
    return this->With(aKey, std::string_view(text.str()));
  }

private:
  LogLevel level;
  std::string line;
};

} // namespace damasklink
