#include "ConfigurationUpdater.h"

#include <utility>

#include "damasklink/protocol/ServingCodec.h"
#include "damasklink/state/PackedText.h"
#include "damasklink/state/Units.h"
#include "damasklink/transport/Log.h"

namespace damasklink {

ConfigurationUpdater::ConfigurationUpdater(asio::io_context& aLoop,
                                           const Clock& aClock,
                                           const ControlDialect& aDialect,
                                           EntryHostState& aState,
                                           PeerSender& aPeers,
                                           Metrics& aMetrics,
                                           std::function<void()> aOnInstalled)
  : loop(aLoop)
  , clock(aClock)
  , dialect(aDialect)
  , state(aState)
  , peers(aPeers)
  , metrics(aMetrics)
  , onInstalled(std::move(aOnInstalled))
  , fetch(aClock)
  , document(std::make_shared<const std::string>())
{
}

void
ConfigurationUpdater::OnUpdate(const HostId& aFrom, const ServingUpdate& aUpdate)
{
  this->fetch.OnVersionAnnounced(aFrom, aUpdate.documentVersion);
  this->Step();
}

void
ConfigurationUpdater::OnDisconnected(const HostId& aHost)
{
  this->fetch.OnLost(aHost);
  this->Step();
}

void
ConfigurationUpdater::OnChunk(const HostId& aFrom, const DocumentChunk& aChunk)
{
  if (this->reading) {
    // A late duplicate of the transfer that is being read.
    return;
  }
  if (std::optional<FetchedDocument> fetched = this->fetch.OnChunk(aFrom, aChunk)) {
    this->StartDocumentRead(aFrom, std::move(*fetched));
  }
  this->Step();
}

ConfigurationUpdater::ReadResult
ConfigurationUpdater::Read(const Clock& aClock,
                           const ControlDialect& aDialect,
                           const HostId& aFrom,
                           const FetchedDocument& aFetched,
                           const TextPtr& aBase)
{
  const MonotonicTime start = aClock.MonotonicNow();
  const TransferId& transfer = aFetched.transfer;
  const std::string_view base = transfer.base == Revision() ? std::string_view() : *aBase;
  auto text = UnpackText(aFetched.packed, base, kMostDocumentBytes);
  if (!text) {
    return ReadResult{ transfer, aFrom, nullptr, Fail(text.error()), Duration() };
  }
  const auto document = std::make_shared<const std::string>(std::move(text.value()));
  Result<RoutesPtr> routes = ReadRoutes(aDialect, *document);
  return ReadResult{ transfer, aFrom, document, std::move(routes), aClock.MonotonicNow() - start };
}

void
ConfigurationUpdater::StartDocumentRead(const HostId& aFrom, FetchedDocument aFetched)
{
  this->reading = true;
  asio::post(this->reader,
             [this, from = aFrom, fetched = std::move(aFetched), base = this->document] {
               ReadResult result = Read(this->clock, this->dialect, from, fetched, base);
               asio::post(this->loop, [this, result = std::move(result)]() mutable {
                 this->OnDocumentRead(std::move(result));
               });
             });
}

void
ConfigurationUpdater::OnDocumentRead(ReadResult aResult)
{
  this->reading = false;
  const TransferId& transfer = aResult.transfer;
  if (!aResult.routes) {
    // Control hosts validate documents, so this one was packed against another base, or needs a
    // newer version of the program.
    LogEvent(LogLevel::Error, "configuration_unreadable")
      .With("version", transfer.version)
      .With("base", transfer.base)
      .With("from", aResult.from)
      .With("error", aResult.routes.error());
    this->fetch.OnUnpackFailed(transfer);
    this->Step();
    return;
  }
  const Duration sinceAnnounced =
    this->clock.MonotonicNow() - this->fetch.AnnouncedAt(transfer.version);
  LogEvent(LogLevel::Info, "configuration_fetched")
    .With("version", transfer.version)
    .With("base", transfer.base)
    .With("packed", transfer.bytes)
    .With("bytes", aResult.document->size())
    .With("last_from", aResult.from)
    .With("since_announced_ms", WholeMilliseconds(sinceAnnounced))
    .With("read_ms", WholeMilliseconds(aResult.took));
  this->document = aResult.document;
  this->fetch.OnVersionInstalled(transfer.version);
  this->state.InstallRoutes(std::move(aResult.routes.value()));
  this->metrics.Add(Counter::ConfigChanges, MetricKey{}, 1);
  this->metrics.Observe(Sample::ConfigSpread, MetricKey{}, sinceAnnounced);
  this->onInstalled();
  this->Step();
}

void
ConfigurationUpdater::Step()
{
  if (this->reading) {
    return;
  }
  const std::optional<OutgoingDocumentRequest> outgoing = this->fetch.Next();
  if (!outgoing) {
    return;
  }
  const DocumentRequest& request = outgoing->request;
  // Only the first request of a transfer and those after a timeout are logged, not each chunk.
  if (request.offset == 0 || outgoing->timedOut) {
    LogEvent(LogLevel::Info, "configuration_asked")
      .With("of", outgoing->source)
      .With("silent", outgoing->timedOut.value_or(HostId()))
      .With("held", request.held)
      .With("version", request.transfer.version)
      .With("offset", request.offset)
      .With("bytes", request.transfer.bytes);
  }
  this->peers.Send(outgoing->source,
                   PeerMessage{ Channel::Serving, GroupId(), EncodeServingMessage(request) });
}

} // namespace damasklink
