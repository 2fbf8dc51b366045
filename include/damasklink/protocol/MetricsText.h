// Formats metrics in the text format of Prometheus.
#pragma once

#include <string>
#include <string_view>

#include "damasklink/coordination/MemoryBudget.h"
#include "damasklink/state/MetricsRegistry.h"

namespace damasklink {

// Returns the name of a counter on /metrics. Names include the unit.
std::string_view
CounterName(Counter aCounter);

// Returns the name of a sample on /metrics. Samples are in seconds.
std::string_view
SampleName(Sample aSample);

// Returns all series in text format 0.0.4: counters, and samples as summaries in seconds. Label
// values are escaped; labels with an empty value are omitted.
std::string
FormatMetrics(const MetricsSnapshot& aSnapshot, const HostId& aHost);

// Returns the gauges of the bytes that a process keeps for others, by use, and of their limit.
std::string
FormatMemory(const MemoryBudget& aMemory, const HostId& aHost);

} // namespace damasklink
