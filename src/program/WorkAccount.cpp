#include "WorkAccount.h"

#include <string>
#include <utility>
#include <variant>

#include "damasklink/transport/Log.h"

namespace damasklink {
namespace {

// Between two accounts in the log: often enough to see a disturbance, a few lines each.
constexpr Duration kLogInterval = std::chrono::seconds(10);

constexpr Duration kPublicationInterval = std::chrono::seconds(1);

std::uint64_t
InMicroseconds(Duration aTime)
{
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::microseconds>(aTime).count());
}

// Names the work that each kind of message is.
struct MessageWork
{
  Work operator()(const Greeting& /*aGreeting*/) const { return Work::Hosts; }
  Work operator()(const ServingUpdate& /*aPicture*/) const { return Work::Pictures; }
  Work operator()(const LoadReport& /*aNews*/) const { return Work::Loads; }
  Work operator()(const EntryHostList& /*aList*/) const { return Work::Hosts; }
  Work operator()(const DocumentRequest& /*aQuestion*/) const { return Work::Documents; }
  Work operator()(const DocumentChunk& /*aPiece*/) const { return Work::Documents; }
};

} // namespace

Work
WorkOf(const ServingMessage& aMessage)
{
  return std::visit(MessageWork(), aMessage);
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
    case Work::TargetSteps:
      return "target_steps";
    case Work::Decoding:
      return "decoding";
  }
  return "unnamed";
}

WorkAccount::Spent&
WorkAccount::Spent::operator+=(const Spent& aOther)
{
  this->heard += aOther.heard;
  this->sent += aOther.sent;
  this->bytesHeard += aOther.bytesHeard;
  this->bytesSent += aOther.bytesSent;
  this->time += aOther.time;
  return *this;
}

WorkAccount::WorkAccount(const Clock& aClock, Metrics& aMetrics)
  : clock(aClock)
  , metrics(aMetrics)
  , nextPublication(aClock.MonotonicNow() + kPublicationInterval)
  , nextLog(aClock.MonotonicNow() + kLogInterval)
{
}

void
WorkAccount::NoteHeard(Work aWork, std::size_t aBytes)
{
  Spent& spent = this->At(aWork);
  ++spent.heard;
  spent.bytesHeard += aBytes;
}

void
WorkAccount::NoteSent(Work aWork, std::size_t aBytes)
{
  Spent& spent = this->At(aWork);
  ++spent.sent;
  spent.bytesSent += aBytes;
}

std::optional<Work>
WorkAccount::Begin(std::optional<Work> aWork)
{
  const MonotonicTime now = this->clock.MonotonicNow();
  if (this->current) {
    this->At(*this->current).time += now - this->currentSince;
  }
  this->currentSince = now;
  return std::exchange(this->current, aWork);
}

void
WorkAccount::Step()
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
WorkAccount::Publish()
{
  for (std::size_t kind = 0; kind < kWorkCount; ++kind) {
    const Spent spent = std::exchange(this->unpublished.at(kind), Spent());
    const MetricKey key{ WorkspaceId(), std::string(WorkName(static_cast<Work>(kind))) };
    this->metrics.Add(Counter::PeerMessagesIn, key, spent.heard);
    this->metrics.Add(Counter::PeerMessagesOut, key, spent.sent);
    this->metrics.Add(Counter::PeerBytesIn, key, spent.bytesHeard);
    this->metrics.Add(Counter::PeerBytesOut, key, spent.bytesSent);
    this->metrics.Add(Counter::WorkMicroseconds, key, InMicroseconds(spent.time));
    this->unlogged.at(kind) += spent;
  }
}

void
WorkAccount::LogAll()
{
  for (std::size_t kind = 0; kind < kWorkCount; ++kind) {
    const Spent spent = std::exchange(this->unlogged.at(kind), Spent());
    LogEvent(LogLevel::Info, "work_account")
      .With("kind", WorkName(static_cast<Work>(kind)))
      .With("heard", spent.heard)
      .With("heard_bytes", spent.bytesHeard)
      .With("sent", spent.sent)
      .With("sent_bytes", spent.bytesSent)
      .With("took_us", InMicroseconds(spent.time));
  }
}

} // namespace damasklink
