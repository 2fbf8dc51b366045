#include "ConfigurationFeed.h"

#include <utility>

#include "damasklink/protocol/ServingCodec.h"
#include "damasklink/state/PackedText.h"
#include "damasklink/state/Units.h"
#include "damasklink/transport/Log.h"

namespace damasklink {

ConfigurationFeed::ConfigurationFeed(asio::io_context& aLoop,
                                     const Clock& aClock,
                                     const ControlDialect& aDialect,
                                     EntryPicture& aPicture,
                                     PeerSender& aPeers,
                                     Metrics& aMetrics,
                                     std::function<void()> aInForce)
  : loop(aLoop)
  , clock(aClock)
  , dialect(aDialect)
  , picture(aPicture)
  , peers(aPeers)
  , metrics(aMetrics)
  , inForce(std::move(aInForce))
  , fetch(aClock)
  , document(std::make_shared<const std::string>())
{
}

void
ConfigurationFeed::OnPicture(const HostId& aFrom, const ServingUpdate& aPicture)
{
  this->fetch.OnVersionAnnounced(aFrom, aPicture.documentVersion);
  this->Step();
}

void
ConfigurationFeed::OnLost(const HostId& aHost)
{
  this->fetch.OnLost(aHost);
  this->Step();
}

void
ConfigurationFeed::OnPiece(const HostId& aFrom, const DocumentChunk& aPiece)
{
  if (this->reading) {
    // Late, of the transfer that is being read.
    return;
  }
  if (std::optional<FetchedDocument> fetched = this->fetch.OnChunk(aFrom, aPiece)) {
    this->StartReading(aFrom, std::move(*fetched));
  }
  this->Step();
}

ConfigurationFeed::Reading
ConfigurationFeed::Read(const Clock& aClock,
                        const ControlDialect& aDialect,
                        const HostId& aFrom,
                        const FetchedDocument& aFetched,
                        const TextPtr& aBase)
{
  const MonotonicTime begun = aClock.MonotonicNow();
  const TransferId& transfer = aFetched.transfer;
  const std::string_view base = transfer.base == Revision() ? std::string_view() : *aBase;
  auto text = UnpackText(aFetched.packed, base, kMostDocumentBytes);
  if (!text) {
    return Reading{ transfer, aFrom, nullptr, Fail(text.error()), Duration() };
  }
  const auto document = std::make_shared<const std::string>(std::move(text.value()));
  Result<RoutesPtr> routes = ReadRoutes(aDialect, *document);
  return Reading{ transfer, aFrom, document, std::move(routes), aClock.MonotonicNow() - begun };
}

void
ConfigurationFeed::StartReading(const HostId& aFrom, FetchedDocument aFetched)
{
  this->reading = true;
  asio::post(
    this->reader, [this, from = aFrom, fetched = std::move(aFetched), base = this->document] {
      Reading done = Read(this->clock, this->dialect, from, fetched, base);
      asio::post(this->loop,
                 [this, done = std::move(done)]() mutable { this->OnRead(std::move(done)); });
    });
}

void
ConfigurationFeed::OnRead(Reading aReading)
{
  this->reading = false;
  const TransferId& transfer = aReading.transfer;
  if (!aReading.routes) {
    // A control host has checked it: it was packed against another base, or is of a newer program.
    LogEvent(LogLevel::Error, "configuration_unreadable")
      .With("version", transfer.version)
      .With("base", transfer.base)
      .With("from", aReading.from)
      .With("error", aReading.routes.error());
    this->fetch.OnUnpackFailed(transfer);
    this->Step();
    return;
  }
  const Duration since = this->clock.MonotonicNow() - this->fetch.AnnouncedAt(transfer.version);
  LogEvent(LogLevel::Info, "configuration_fetched")
    .With("version", transfer.version)
    .With("base", transfer.base)
    .With("packed", transfer.bytes)
    .With("bytes", aReading.document->size())
    .With("last_from", aReading.from)
    .With("since_announced_ms", WholeMilliseconds(since))
    .With("read_ms", WholeMilliseconds(aReading.took));
  this->document = aReading.document;
  this->fetch.OnVersionInstalled(transfer.version);
  this->picture.PutInForce(std::move(aReading.routes.value()));
  this->metrics.Add(Counter::ConfigChanges, MetricKey{}, 1);
  this->metrics.Observe(Sample::ConfigSpread, MetricKey{}, since);
  this->inForce();
  this->Step();
}

void
ConfigurationFeed::Step()
{
  if (this->reading) {
    return;
  }
  const std::optional<OutgoingDocumentRequest> ask = this->fetch.Next();
  if (!ask) {
    return;
  }
  const DocumentRequest& question = ask->request;
  // Not for each piece: a transfer that goes on as it began needs no line.
  if (question.offset == 0 || ask->timedOut) {
    LogEvent(LogLevel::Info, "configuration_asked")
      .With("of", ask->source)
      .With("silent", ask->timedOut.value_or(HostId()))
      .With("held", question.held)
      .With("version", question.transfer.version)
      .With("offset", question.offset)
      .With("bytes", question.transfer.bytes);
  }
  this->peers.Send(ask->source,
                   PeerMessage{ Channel::Serving, GroupId(), EncodeServingMessage(question) });
}

} // namespace damasklink
