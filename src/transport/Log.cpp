#include "damasklink/transport/Log.h"

#include <array>
#include <atomic>
#include <iostream>
#include <utility>

#include <absl/time/clock.h>
#include <absl/time/time.h>
#include <boost/log/core.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/smart_ptr/make_shared.hpp>

#include "damasklink/state/Text.h"
namespace damasklink {
namespace {

namespace logging = boost::log;

constexpr std::array<std::pair<LogLevel, std::string_view>, 4> kLevelNames{ {
  { LogLevel::Debug, "debug" },
  { LogLevel::Info, "info" },
  { LogLevel::Warning, "warning" },
  { LogLevel::Error, "error" },
} };

std::atomic<LogLevel> currentLevel{ LogLevel::Info };

std::string_view
LevelName(LogLevel aLevel)
{
  return kLevelNames.at(static_cast<std::size_t>(aLevel)).second;
}

bool
IsPlain(char aChar)
{
  return aChar > ' ' && aChar != '"' && aChar != '=' && aChar != '\\' && aChar != '\x7f';
}

} // namespace

void
StartLogging(LogLevel aLevel)
{
  using Backend = logging::sinks::text_ostream_backend;
  auto backend = boost::make_shared<Backend>();
  // The stream outlives the sink, so nothing is deleted.
  backend->add_stream(boost::shared_ptr<std::ostream>(&std::clog, [](std::ostream*) {}));
  backend->auto_flush(true);
  logging::core::get()->add_sink(
    boost::make_shared<logging::sinks::synchronous_sink<Backend>>(backend));
  SetLogLevel(aLevel);
}

void
SetLogLevel(LogLevel aLevel)
{
  currentLevel.store(aLevel);
}

bool
ParseLogLevel(std::string_view aText, LogLevel& aTo)
{
  for (const auto& [level, name] : kLevelNames) {
    if (aText == name) {
      aTo = level;
      return true;
    }
  }
  return false;
}

std::string
QuoteLogValue(std::string_view aValue)
{
  bool plain = !aValue.empty();
  for (const char character : aValue) {
    plain = plain && IsPlain(character);
  }
  if (plain) {
    return std::string(aValue);
  }
  std::string quoted = "\"";
  for (const char character : aValue) {
    if (character == '"' || character == '\\') {
      quoted += '\\';
      quoted += character;
    } else if (character == '\n') {
      quoted += "\\n";
    } else if (static_cast<unsigned char>(character) < ' ' || character == '\x7f') {
      quoted += '?';
    } else {
      quoted += character;
    }
  }
  return quoted + '"';
}

LogEvent::LogEvent(LogLevel aLevel, std::string_view aName)
  : level(aLevel)
{
  if (aLevel < currentLevel.load()) {
    return;
  }
  const std::string time =
    absl::FormatTime("%Y-%m-%dT%H:%M:%E3SZ", absl::Now(), absl::UTCTimeZone());
  this->line = Concat("time=", time, " level=", LevelName(aLevel), " event=", aName);
}

LogEvent::~LogEvent()
{
  if (this->line.empty()) {
    return;
  }
  static logging::sources::logger_mt logger;
  BOOST_LOG(logger) << this->line;
}

LogEvent&
LogEvent::With(std::string_view aKey, std::string_view aValue)
{
  if (!this->line.empty()) {
    this->line += Concat(" ", aKey, "=", QuoteLogValue(aValue));
  }
  return *this;
}

} // namespace damasklink
