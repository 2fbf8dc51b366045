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

// Changes the level of the running process; safe from any thread.
void
SetLogLevel(LogLevel aLevel);

// Reads "debug", "info", "warning" or "error". Returns false and leaves aTo for anything else.
bool
ParseLogLevel(std::string_view aText, LogLevel& aTo);

// Returns the value as it stands in a line: quoted and escaped where it needs to be.
std::string
QuoteLogValue(std::string_view aValue);

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
