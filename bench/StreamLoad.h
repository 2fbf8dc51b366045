// Opens many streamed prompts at once from one thread and counts what comes back.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "damasklink/state/Clock.h"
#include "damasklink/state/Settings.h"

namespace damasklink::bench {

// One HTTP call that answers with server-sent events, sent `streams` times at once.
struct StreamLoad
{
  Endpoint endpoint;
  std::string path;
  std::string key;
  std::string body;
  std::size_t streams = 1;
  // Gives up on what is not over by then.
  Duration limit = std::chrono::seconds(60);
};

struct LoadResult
{
  // Answers that ended with [DONE].
  std::size_t whole = 0;
  std::size_t failed = 0;
  std::uint64_t events = 0;
  // Time to the first event, of each stream that had one; milliseconds.
  std::vector<double> firstEvent;
  double seconds = 0;
};

// Runs the load to its end.
LoadResult
RunLoad(const StreamLoad& aLoad);

// Runs the load until every stream has sent its first event, calls aMeasure, and drops the streams.
// Returns how many had one.
std::size_t
HoldOpen(const StreamLoad& aLoad, const std::function<void()>& aMeasure);

} // namespace damasklink::bench
