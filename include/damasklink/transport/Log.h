// Logs: one line of key=value pairs for each event.
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

// Starts logging to standard error. Requires to be called once, before the first event.
void
StartLogging(LogLevel aLevel);

// Sends all further events to standard output instead, as processes of a serving deployment do.
// Never waits: a line that the reader of the output does not take at once is dropped, and the next
// one that is taken is preceded by a count of those.
void
LogToStandardOutput();

// Changes the level of the running process; safe from any thread.
void
SetLogLevel(LogLevel aLevel);

// Reads "debug", "info", "warning" or "error". Returns false and leaves aTo for anything else.
bool
ParseLogLevel(std::string_view aText, LogLevel& aTo);

// Returns the value as it stands in a line: quoted and escaped where it needs to be.
std::string
QuoteLogValue(std::string_view aValue);

// Lines of one event name that are written in a second; further ones are counted, and the count is
// written with the first line of the next second. A host that fails 100 calls a second still logs
// each of them; a storm beyond that costs neither the disk nor the processor.
constexpr int kMaxLinesPerSecond = 100;

// One event, written when it goes out of scope. Never pass prompt text or keys.
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
