#include "damasklink/protocol/MetricsText.h"

#include <set>

#include <gtest/gtest.h>

namespace damasklink {
namespace {

TEST(MetricsTextTest, EscapesLabelsAndOmitsEmptyOnes)
{
  MetricsSnapshot snapshot;
  snapshot.counters = { { Counter::Requests, { WorkspaceId("a\"b\\c\nd"), "" }, 7 } };
  EXPECT_EQ(FormatMetrics(snapshot, HostId("h")),
            "# TYPE damasklink_requests_total counter\n"
            "damasklink_requests_total{host=\"h\",workspace=\"a\\\"b\\\\c\\nd\"} 7\n");
}

TEST(MetricsTextTest, WritesSamplesAsSummaries)
{
  MetricsSnapshot snapshot;
  snapshot.samples = { { Sample::FirstToken, { WorkspaceId("a"), "" }, 2, 1.5, 0.5, 1, 1 } };
  EXPECT_EQ(FormatMetrics(snapshot, HostId("h")),
            "# TYPE damasklink_first_token_seconds summary\n"
            "damasklink_first_token_seconds{host=\"h\",workspace=\"a\",quantile=\"0.5\"} 0.5\n"
            "damasklink_first_token_seconds{host=\"h\",workspace=\"a\",quantile=\"0.95\"} 1\n"
            "damasklink_first_token_seconds{host=\"h\",workspace=\"a\",quantile=\"0.99\"} 1\n"
            "damasklink_first_token_seconds_sum{host=\"h\",workspace=\"a\"} 1.5\n"
            "damasklink_first_token_seconds_count{host=\"h\",workspace=\"a\"} 2\n");
}

TEST(MetricsTextTest, EveryMetricHasAUniqueName)
{
  std::set<std::string_view> names;
  for (std::size_t index = 0; index < kCounterCount; ++index) {
    names.insert(CounterName(static_cast<Counter>(index)));
  }
  for (std::size_t index = 0; index < kSampleCount; ++index) {
    names.insert(SampleName(static_cast<Sample>(index)));
  }
  EXPECT_EQ(names.size(), kCounterCount + kSampleCount);
  EXPECT_FALSE(names.contains("damasklink_unnamed_total"));
  EXPECT_FALSE(names.contains("damasklink_unnamed_seconds"));
}

} // namespace
} // namespace damasklink
