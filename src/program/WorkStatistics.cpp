#include "WorkStatistics.h"

#include <string>
#include <utility>
#include <variant>

#include "damasklink/transport/Log.h"

namespace damasklink {
namespace {

// Short enough to show a disturbance; each time writes one line for each kind of work.
constexpr Duration kLogInterval = std::chrono::seconds(10);

constexpr Duration kPublicationInterval = std::chrono::seconds(1);

std::uint64_t
InMicroseconds(Duration aTime)
{
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::microseconds>(aTime).count());
}

// Maps each type of message to its kind of work.
struct WorkOfMessage
{
  Work operator()(const Greeting& /*aGreeting*/) const { return Work::Hosts; }
  Work operator()(const ServingUpdate& /*aUpdate*/) const { return Work::Pictures; }
  Work operator()(const LoadReport& /*aReport*/) const { return Work::Loads; }
  Work operator()(const EntryHostList& /*aList*/) const { return Work::Hosts; }
  Work operator()(const ForwardingHostsRequest& /*aRequest*/) const { return Work::Hosts; }
  Work operator()(const ForwardingHosts& /*aHosts*/) const { return Work::Hosts; }
  Work operator()(const StreamOriginRequest& /*aRequest*/) const { return Work::Origins; }
  Work operator()(const StreamOriginResponse& /*aResponse*/) const { return Work::Origins; }
  Work operator()(const DocumentRequest& /*aRequest*/) const { return Work::Documents; }
  Work operator()(const DocumentChunk& /*aChunk*/) const { return Work::Documents; }
};

} // namespace

Work
WorkOf(const ServingMessage& aMessage)
{
  return std::visit(WorkOfMessage(), aMessage);
}

std::string_view
WorkName(Work aWork)
{
  switch (aWork) {
    case Work::Agreement:
      return "agreement";
    case Work::Heartbeats:
      return "heartbeats";
    case Work::Pictures:
      return "pictures";
    case Work::Snapshots:
      return "snapshots";
    case Work::Documents:
      return "documents";
    case Work::Loads:
      return "loads";
    case Work::Totals:
      return "totals";
    case Work::StoredParts:
      return "stored_parts";
    case Work::Hosts:
      return "hosts";
    case Work::Origins:
      return "origins";
    case Work::TargetSteps:
      return "target_steps";
    case Work::Decoding:
      return "decoding";
  }
  return "unnamed";
}

WorkStatistics::WorkUsage&
WorkStatistics::WorkUsage::operator+=(const WorkUsage& aOther)
{
  this->received += aOther.received;
  this->sent += aOther.sent;
  this->bytesReceived += aOther.bytesReceived;
  this->bytesSent += aOther.bytesSent;
  this->time += aOther.time;
  return *this;
}

WorkStatistics::WorkStatistics(const Clock& aClock, Metrics& aMetrics)
  : clock(aClock)
  , metrics(aMetrics)
  , nextPublication(aClock.MonotonicNow() + kPublicationInterval)
  , nextLog(aClock.MonotonicNow() + kLogInterval)
{
}

void
WorkStatistics::CountReceived(Work aWork, std::size_t aBytes)
{
  WorkUsage& usage = this->At(aWork);
  ++usage.received;
  usage.bytesReceived += aBytes;
}

void
WorkStatistics::CountSent(Work aWork, std::size_t aBytes)
{
  WorkUsage& usage = this->At(aWork);
  ++usage.sent;
  usage.bytesSent += aBytes;
}

std::optional<Work>
WorkStatistics::Begin(std::optional<Work> aWork)
{
  const MonotonicTime now = this->clock.MonotonicNow();
  if (this->current) {
    this->At(*this->current).time += now - this->currentSince;
  }
  this->currentSince = now;
  return std::exchange(this->current, aWork);
}

void
WorkStatistics::Step()
{
  const MonotonicTime now = this->clock.MonotonicNow();
  if (now >= this->nextPublication) {
    this->nextPublication = now + kPublicationInterval;
    this->Publish();
  }
  if (now >= this->nextLog) {
    this->nextLog = now + kLogInterval;
    this->LogAll();
  }
}

void
WorkStatistics::Publish()
{
  for (std::size_t kind = 0; kind < kWorkCount; ++kind) {
    const WorkUsage usage = std::exchange(this->unpublished.at(kind), WorkUsage());
    const MetricKey key{ WorkspaceId(), std::string(WorkName(static_cast<Work>(kind))) };
    this->metrics.Add(Counter::PeerMessagesIn, key, usage.received);
    this->metrics.Add(Counter::PeerMessagesOut, key, usage.sent);
    this->metrics.Add(Counter::PeerBytesIn, key, usage.bytesReceived);
    this->metrics.Add(Counter::PeerBytesOut, key, usage.bytesSent);
    this->metrics.Add(Counter::WorkMicroseconds, key, InMicroseconds(usage.time));
    this->unlogged.at(kind) += usage;
  }
}

void
WorkStatistics::LogAll()
{
  for (std::size_t kind = 0; kind < kWorkCount; ++kind) {
    const WorkUsage usage = std::exchange(this->unlogged.at(kind), WorkUsage());
    LogEvent(LogLevel::Info, "work_account")
      .With("kind", WorkName(static_cast<Work>(kind)))
      .With("heard", usage.received)
      .With("heard_bytes", usage.bytesReceived)
      .With("sent", usage.sent)
      .With("sent_bytes", usage.bytesSent)
      .With("took_us", InMicroseconds(usage.time));
  }
}

} // namespace damasklink
