#include "damasklink/transport/ConnectionEndLog.h"

#include "damasklink/transport/Log.h"

namespace damasklink {
namespace {

bool
IsUnusual(const CallerConnection& aConnection, LingerEnd aLingerEnd)
{
  switch (aLingerEnd) {
    case LingerEnd::NotBegun:
      return aConnection.End() == ConnectionEnd::IdleTimeout && aConnection.UnreadBytes() > 0;
    case LingerEnd::CallerClosed:
      return false;
    case LingerEnd::TimeExceeded:
      return aConnection.DroppedBytes() > 0;
    case LingerEnd::BytesExceeded:
    case LingerEnd::TooMany:
      return true;
  }
  return true;
}

} // namespace

void
ConnectionEndLog::OnUnreadable(const CallerConnection& aConnection, const Error& aError)
{
  if (!this->MayLog()) {
    return;
  }
  LogEvent(LogLevel::Info, "request_unreadable")
    .With("error", aError)
    .With("end", ConnectionEndName(aConnection.End()))
    .With("unread", aConnection.UnreadBytes())
    .With("version", aConnection.LimitsVersion());
}

void
ConnectionEndLog::OnEnd(const CallerConnection& aConnection, LingerEnd aLingerEnd)
{
  const std::string_view end = ConnectionEndName(aConnection.End());
  const std::string_view lingerEnd = LingerEndName(aLingerEnd);
  this->metrics.Add(Counter::ConnectionEnds, MetricKey{ WorkspaceId(), std::string(end) }, 1);
  if (aLingerEnd != LingerEnd::NotBegun) {
    this->metrics.Add(
      Counter::LingeringCloses, MetricKey{ WorkspaceId(), std::string(lingerEnd) }, 1);
  }
  if (!IsUnusual(aConnection, aLingerEnd) || !this->MayLog()) {
    return;
  }
  LogEvent(LogLevel::Info, "connection_ended")
    .With("end", end)
    .With("linger_end", lingerEnd)
    .With("unread", aConnection.UnreadBytes())
    .With("dropped", aConnection.DroppedBytes())
    .With("version", aConnection.LimitsVersion());
}

void
ConnectionEndLog::OnInterval()
{
  if (this->lines > kMostLines) {
    LogEvent(LogLevel::Info, "connection_ends_left_out").With("lines", this->lines - kMostLines);
  }
  this->lines = 0;
}

bool
ConnectionEndLog::MayLog()
{
  return ++this->lines <= kMostLines;
}

} // namespace damasklink
