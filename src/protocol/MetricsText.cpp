#include "damasklink/protocol/MetricsText.h"

#include <array>
#include <optional>
#include <utility>

#include "damasklink/state/Text.h"

namespace damasklink {
namespace {

// In the order of the counters.
constexpr std::array<std::pair<Counter, std::string_view>, kCounterCount> kCounterNames{ {
  { Counter::Requests, "damasklink_requests_total" },
  { Counter::Refusals, "damasklink_refusals_total" },
  { Counter::Failures, "damasklink_failures_total" },
  { Counter::Retries, "damasklink_retries_total" },
  { Counter::PromptTokens, "damasklink_prompt_tokens_total" },
  { Counter::ReusedTokens, "damasklink_reused_tokens_total" },
  { Counter::RecomputedTokens, "damasklink_recomputed_tokens_total" },
  { Counter::AnswerTokens, "damasklink_answer_tokens_total" },
  { Counter::LinkBytesIn, "damasklink_link_in_bytes_total" },
  { Counter::LinkBytesOut, "damasklink_link_out_bytes_total" },
  { Counter::ClaimsTaken, "damasklink_claims_taken_total" },
  { Counter::ClaimsRepeated, "damasklink_claims_repeated_total" },
  { Counter::ConfigChanges, "damasklink_config_changes_total" },
  { Counter::Elections, "damasklink_elections_total" },
  { Counter::Orders, "damasklink_orders_total" },
  { Counter::PeerBytesOut, "damasklink_peer_out_bytes_total" },
  { Counter::PeerBytesIn, "damasklink_peer_in_bytes_total" },
  { Counter::PeerMessagesOut, "damasklink_peer_out_messages_total" },
  { Counter::PeerMessagesIn, "damasklink_peer_in_messages_total" },
  { Counter::WorkMicroseconds, "damasklink_work_microseconds_total" },
  { Counter::Evacuations, "damasklink_evacuations_total" },
  { Counter::TargetNotices, "damasklink_target_notices_total" },
  { Counter::SnapshotsEncoded, "damasklink_snapshots_encoded_total" },
  { Counter::FailedConnects, "damasklink_failed_connects_total" },
  { Counter::ServiceReachability, "damasklink_service_reachability_changes_total" },
  { Counter::ForwardedCalls, "damasklink_forwarded_calls_total" },
  { Counter::ForwardingDeclines, "damasklink_forwarding_declines_total" },
  { Counter::ServedForwards, "damasklink_served_forwards_total" },
  { Counter::ConnectionEnds, "damasklink_connection_ends_total" },
  { Counter::LingeringCloses, "damasklink_lingering_closes_total" },
  { Counter::CrashReports, "damasklink_crash_reports_total" },
  { Counter::ClosedUnread, "damasklink_connections_closed_unread_total" },
  { Counter::SilentAttempts, "damasklink_silent_attempts_total" },
  { Counter::StandbyAttempts, "damasklink_standby_attempts_total" },
  { Counter::ResumedStreams, "damasklink_resumed_streams_total" },
  { Counter::MemoryRefusals, "damasklink_memory_refusals_total" },
  { Counter::RoomWaits, "damasklink_room_waits_total" },
  { Counter::Hedges, "damasklink_hedges_total" },
} };

constexpr bool
AreInOrder()
{
  for (std::size_t index = 0; index < kCounterNames.size(); ++index) {
    if (static_cast<std::size_t>(kCounterNames[index].first) != index) {
      return false;
    }
  }
  return true;
}

static_assert(AreInOrder(), "each counter has a name, in the order of the counters");

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
  return kCounterNames[static_cast<std::size_t>(aCounter)].second;
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
    case Sample::RoomWait:
      return "damasklink_room_wait_seconds";
    case Sample::MemberCatchUp:
      return "damasklink_member_catch_up_seconds";
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

std::string
FormatMemory(const MemoryBudget& aMemory, const HostId& aHost)
{
  std::string text = "# TYPE damasklink_held_bytes gauge\n";
  for (std::size_t index = 0; index < kMemoryUseCount; ++index) {
    const auto use = static_cast<MemoryUse>(index);
    const MetricKey key{ WorkspaceId(), std::string(MemoryUseName(use)) };
    text +=
      Concat("damasklink_held_bytes", Labels(aHost, key).Text(), " ", aMemory.HeldFor(use), "\n");
  }
  text += "# TYPE damasklink_held_limit_bytes gauge\n";
  text += Concat(
    "damasklink_held_limit_bytes", Labels(aHost, MetricKey()).Text(), " ", aMemory.Limit(), "\n");
  return text;
}

} // namespace damasklink
