#include "damasklink/protocol/MetricsText.h"

#include <optional>

#include "damasklink/state/Text.h"

namespace damasklink {
namespace {

std::string
EscapeLabel(std::string_view aValue)
{
  std::string escaped;
  for (const char character : aValue) {
    if (character == '\\' || character == '"') {
      escaped += '\\';
    }
    escaped += character == '\n' ? "\\n" : std::string(1, character);
  }
  return escaped;
}

// Builds a label set such as {host="a",workspace="b"}. Omits labels with an empty value.
class Labels
{
public:
  Labels(const HostId& aHost, const MetricKey& aKey)
  {
    this->Add("host", aHost.Value());
    this->Add("workspace", aKey.workspace.Value());
    this->Add("kind", aKey.kind);
  }

  Labels& Add(std::string_view aName, std::string_view aValue)
  {
    if (!aValue.empty()) {
      this->text += Concat(this->text.empty() ? "" : ",", aName, "=\"", EscapeLabel(aValue), "\"");
    }
    return *this;
  }

  std::string Text() const { return this->text.empty() ? "" : Concat("{", this->text, "}"); }

private:
  std::string text;
};

void
AppendQuantile(std::string& aTo,
               const SampleSeries& aSeries,
               const HostId& aHost,
               std::string_view aQuantile,
               double aValue)
{
  Labels labels(aHost, aSeries.key);
  labels.Add("quantile", aQuantile);
  aTo += Concat(SampleName(aSeries.sample), labels.Text(), " ", aValue, "\n");
}

void
AppendSample(std::string& aTo, const SampleSeries& aSeries, const HostId& aHost)
{
  AppendQuantile(aTo, aSeries, aHost, "0.5", aSeries.p50);
  AppendQuantile(aTo, aSeries, aHost, "0.95", aSeries.p95);
  AppendQuantile(aTo, aSeries, aHost, "0.99", aSeries.p99);
  const std::string labels = Labels(aHost, aSeries.key).Text();
  const std::string_view name = SampleName(aSeries.sample);
  aTo += Concat(name, "_sum", labels, " ", aSeries.sum, "\n");
  aTo += Concat(name, "_count", labels, " ", aSeries.count, "\n");
}

} // namespace

std::string_view
CounterName(Counter aCounter)
{
  switch (aCounter) {
    case Counter::Requests:
      return "damasklink_requests_total";
    case Counter::Refusals:
      return "damasklink_refusals_total";
    case Counter::Failures:
      return "damasklink_failures_total";
    case Counter::Retries:
      return "damasklink_retries_total";
    case Counter::PromptTokens:
      return "damasklink_prompt_tokens_total";
    case Counter::ReusedTokens:
      return "damasklink_reused_tokens_total";
    case Counter::RecomputedTokens:
      return "damasklink_recomputed_tokens_total";
    case Counter::AnswerTokens:
      return "damasklink_answer_tokens_total";
    case Counter::LinkBytesIn:
      return "damasklink_link_in_bytes_total";
    case Counter::LinkBytesOut:
      return "damasklink_link_out_bytes_total";
    case Counter::ClaimsTaken:
      return "damasklink_claims_taken_total";
    case Counter::ClaimsRepeated:
      return "damasklink_claims_repeated_total";
    case Counter::ConfigChanges:
      return "damasklink_config_changes_total";
    case Counter::Elections:
      return "damasklink_elections_total";
    case Counter::Orders:
      return "damasklink_orders_total";
    case Counter::PeerBytesOut:
      return "damasklink_peer_out_bytes_total";
    case Counter::PeerBytesIn:
      return "damasklink_peer_in_bytes_total";
    case Counter::PeerMessagesOut:
      return "damasklink_peer_out_messages_total";
    case Counter::PeerMessagesIn:
      return "damasklink_peer_in_messages_total";
    case Counter::WorkMicroseconds:
      return "damasklink_work_microseconds_total";
    case Counter::Evacuations:
      return "damasklink_evacuations_total";
    case Counter::TargetNotices:
      return "damasklink_target_notices_total";
    case Counter::SnapshotsEncoded:
      return "damasklink_snapshots_encoded_total";
    case Counter::FailedConnects:
      return "damasklink_failed_connects_total";
    case Counter::ServiceReachability:
      return "damasklink_service_reachability_changes_total";
    case Counter::ForwardedCalls:
      return "damasklink_forwarded_calls_total";
    case Counter::ForwardingDeclines:
      return "damasklink_forwarding_declines_total";
    case Counter::ServedForwards:
      return "damasklink_served_forwards_total";
    case Counter::CrashReports:
      return "damasklink_crash_reports_total";
    case Counter::ClosedUnread:
      return "damasklink_connections_closed_unread_total";
    case Counter::ResumedStreams:
      return "damasklink_resumed_streams_total";
  }
  return "damasklink_unnamed_total";
}

std::string_view
SampleName(Sample aSample)
{
  switch (aSample) {
    case Sample::FirstToken:
      return "damasklink_first_token_seconds";
    case Sample::BetweenTokens:
      return "damasklink_between_tokens_seconds";
    case Sample::WholeRequest:
      return "damasklink_whole_request_seconds";
    case Sample::QueueWait:
      return "damasklink_queue_wait_seconds";
    case Sample::ClaimWait:
      return "damasklink_claim_wait_seconds";
    case Sample::ConfigSpread:
      return "damasklink_config_spread_seconds";
    case Sample::RouteChoice:
      return "damasklink_route_choice_seconds";
  }
  return "damasklink_unnamed_seconds";
}

std::string
FormatMetrics(const MetricsSnapshot& aSnapshot, const HostId& aHost)
{
  std::string text;
  std::optional<Counter> counter;
  for (const CounterSeries& series : aSnapshot.counters) {
    if (counter != series.counter) {
      counter = series.counter;
      text += Concat("# TYPE ", CounterName(series.counter), " counter\n");
    }
    const std::string labels = Labels(aHost, series.key).Text();
    text += Concat(CounterName(series.counter), labels, " ", series.value, "\n");
  }
  std::optional<Sample> sample;
  for (const SampleSeries& series : aSnapshot.samples) {
    if (sample != series.sample) {
      sample = series.sample;
      text += Concat("# TYPE ", SampleName(series.sample), " summary\n");
    }
    AppendSample(text, series, aHost);
  }
  return text;
}

} // namespace damasklink
