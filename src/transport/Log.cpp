#include "damasklink/transport/Log.h"

#include <poll.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <climits>
#include <iostream>
#include <optional>
#include <utility>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/clock.h>
#include <absl/time/time.h>
#include <boost/log/core.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/smart_ptr/make_shared.hpp>

#include "damasklink/state/Text.h"
#include "damasklink/transport/LogLineLimiter.h"
#include "damasklink/transport/LogLineQueue.h"

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

// Writes whole lines to standard output, as far as that is possible without blocking.
class PipeBackend
  : public logging::sinks::basic_formatted_sink_backend<char, logging::sinks::synchronized_feeding>
{
public:
  // Called by the library for one record at a time.
  // NOLINTNEXTLINE(readability-identifier-naming)
  void consume(const logging::record_view& /*aRecord*/, const string_type& aLine)
  {
    this->queue.Add(aLine);
  }

private:
  static bool Write(const std::string& aText)
  {
    // Writing up to PIPE_BUF bytes to a pipe that is ready is atomic and does not block.
    pollfd ready{ STDOUT_FILENO, POLLOUT, 0 };
    if (poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) {
      return false;
    }
    const std::size_t length = std::min<std::size_t>(aText.size(), PIPE_BUF);
    return write(STDOUT_FILENO, aText.data(), length) == static_cast<ssize_t>(length);
  }

  LogLineQueue queue{ &PipeBackend::Write };
};

// A limiter that several threads may use.
class SharedLimiter
{
public:
  std::optional<std::uint64_t> Admit(const std::string& aName,
                                     LogLevel aLevel,
                                     std::int64_t aSecond)
  {
    absl::MutexLock lock(&this->mutex);
    return this->limiter.Admit(aName, aLevel, aSecond);
  }

private:
  absl::Mutex mutex;
  LogLineLimiter limiter ABSL_GUARDED_BY(mutex);
};

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
  // std::clog outlives the sink, so the deleter does nothing.
  backend->add_stream(boost::shared_ptr<std::ostream>(&std::clog, [](std::ostream*) {}));
  backend->auto_flush(true);
  logging::core::get()->add_sink(
    boost::make_shared<logging::sinks::synchronous_sink<Backend>>(backend));
  SetLogLevel(aLevel);
}

void
LogToStandardOutput()
{
  logging::core::get()->remove_all_sinks();
  using Sink = logging::sinks::synchronous_sink<PipeBackend>;
  logging::core::get()->add_sink(boost::make_shared<Sink>(boost::make_shared<PipeBackend>()));
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
  static SharedLimiter limiter;
  const auto suppressed =
    limiter.Admit(std::string(aName), aLevel, absl::ToUnixSeconds(absl::Now()));
  if (!suppressed) {
    return;
  }
  const std::string time =
    absl::FormatTime("%Y-%m-%dT%H:%M:%E3SZ", absl::Now(), absl::UTCTimeZone());
  this->line = Concat("time=", time, " level=", LevelName(aLevel), " event=", aName);
  if (*suppressed > 0) {
    this->With("left_out", *suppressed);
  }
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
