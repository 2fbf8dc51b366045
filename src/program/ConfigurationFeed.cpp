#include "ConfigurationFeed.h"

#include "damasklink/protocol/ServingCodec.h"
#include "damasklink/state/PackedText.h"
#include "damasklink/state/Units.h"
#include "damasklink/transport/Log.h"

namespace damasklink {
namespace {

// Four times what a control host takes from an operator.
constexpr std::size_t kMostDocumentBytes = 64 * kMebibyte;

} // namespace

void
ConfigurationFeed::OnPicture(const HostId& aFrom, const Picture& aPicture)
{
  this->fetch.OnAnnounced(aFrom, aPicture.documentVersion);
  this->Step();
}

void
ConfigurationFeed::OnLost(const HostId& aHost)
{
  this->fetch.OnLost(aHost);
  this->Step();
}

void
ConfigurationFeed::OnPiece(const HostId& aFrom, const DocumentPiece& aPiece)
{
  if (const std::optional<FetchedDocument> fetched = this->fetch.OnPiece(aFrom, aPiece)) {
    this->Install(aFrom, *fetched);
  }
  this->Step();
}

void
ConfigurationFeed::Install(const HostId& aFrom, const FetchedDocument& aFetched)
{
  const TransferId& transfer = aFetched.transfer;
  const bool onBase = transfer.base != Revision();
  auto text = UnpackText(aFetched.packed,
                         onBase ? std::string_view(this->document) : std::string_view(),
                         kMostDocumentBytes);
  if (!text) {
    LogEvent(LogLevel::Error, "configuration_unreadable")
      .With("version", transfer.version)
      .With("base", transfer.base)
      .With("from", aFrom)
      .With("error", text.error());
    this->fetch.OnRefused(transfer);
    return;
  }
  if (!this->picture.TakeDocument(aFrom, transfer.version, text.value())) {
    this->fetch.OnRefused(transfer);
    return;
  }
  this->document = std::move(text.value());
  this->fetch.OnHeld(transfer.version);
  const Duration since = this->clock.MonotonicNow() - this->fetch.AnnouncedAt();
  this->metrics.Add(Counter::ConfigChanges, MetricKey{}, 1);
  this->metrics.Observe(Sample::ConfigSpread, MetricKey{}, since);
  LogEvent(LogLevel::Info, "configuration_fetched")
    .With("version", transfer.version)
    .With("base", transfer.base)
    .With("bytes", transfer.bytes)
    .With("since_announced_ms", WholeMilliseconds(since))
    .With("last_from", aFrom);
}

void
ConfigurationFeed::Step()
{
  const std::optional<DocumentAsk> ask = this->fetch.Next();
  if (!ask) {
    return;
  }
  const DocumentQuestion& question = ask->question;
  // Not for each piece: a transfer that goes on as it began needs no line.
  if (question.offset == 0 || ask->silent) {
    LogEvent(LogLevel::Info, "configuration_asked")
      .With("of", ask->source)
      .With("silent", ask->silent.value_or(HostId()))
      .With("held", question.held)
      .With("version", question.transfer.version)
      .With("offset", question.offset)
      .With("bytes", question.transfer.bytes);
  }
  this->peers.Send(ask->source,
                   PeerMessage{ Channel::Serving, GroupId(), EncodeServingMessage(question) });
}

} // namespace damasklink
