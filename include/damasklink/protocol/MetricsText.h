// Metrics as the text that Prometheus reads.
#pragma once

#include <string>
#include <string_view>

#include "damasklink/state/MetricsRegistry.h"

namespace damasklink {

// Returns the metric's name as it stands on /metrics; units are in the name.
std::string_view
CounterName(Counter aCounter);
std::string_view
SampleName(Sample aSample);

// Returns all series in the text format 0.0.4: counters, and samples as summaries in seconds.
// Label values are escaped; a label whose value is empty is left out.
std::string
FormatMetrics(const MetricsSnapshot& aSnapshot, const HostId& aHost);

} // namespace damasklink
