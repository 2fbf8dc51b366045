// Counts how the connections of a host's callers ended, and logs the unusual ends.
//
//   ConnectionEndLog ends(metrics);
//   ends.OnUnreadable(connection, error);            // A request that could not be read.
//   ends.OnEnd(connection, lingerEnd);               // Each connection, once it is closed.
//   ends.OnInterval();                               // Regularly: permits further lines.
//
// Not thread-safe: belongs to one event loop.
#pragma once

#include "damasklink/state/Metrics.h"
#include "damasklink/transport/LingeringClose.h"

namespace damasklink {

class ConnectionEndLog
{
public:
  // Lines per interval. Further ones are counted and left out.
  static constexpr std::size_t kMostLines = 20;

  explicit ConnectionEndLog(Metrics& aMetrics)
    : metrics(aMetrics)
  {
  }

  void OnUnreadable(const CallerConnection& aConnection, const Error& aError);
  void OnEnd(const CallerConnection& aConnection, LingerEnd aLingerEnd);
  void OnInterval();

private:
  bool MayLog();

  Metrics& metrics;
  std::size_t lines = 0;
};

} // namespace damasklink
