// Fetches the configuration document for an entry host: the receiving side of DocumentTransfer.h.
//
//   DocumentFetcher fetcher(clock);
//   // For each ServingUpdate of a control host:
//   fetcher.OnVersionAnnounced(controlHost, version);
//   // After each event, and on a timer:
//   if (auto outgoing = fetcher.Next()) { Send(outgoing->source, outgoing->request); }
//   // Unpack a complete document and report OnVersionInstalled() or OnUnpackFailed():
//   if (auto document = fetcher.OnChunk(controlHost, chunk)) { ... }
//
// One chunk is requested at a time, from one control host. After a timeout the same chunk is
// requested from another control host, and the first answer is used. A transfer therefore never
// loses progress, however slow the link is and whichever control host stops responding.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "damasklink/coordination/DocumentTransfer.h"
#include "damasklink/state/Clock.h"

namespace damasklink {

// A request and the control host to send it to.
struct OutgoingDocumentRequest
{
  HostId source;
  DocumentRequest request;
  // The control host whose answer to the previous request timed out, if any.
  std::optional<HostId> timedOut;
};

// All bytes of a completed transfer.
struct FetchedDocument
{
  TransferId transfer;
  std::string packed;
};

// Not thread-safe.
class DocumentFetcher
{
public:
  explicit DocumentFetcher(const Clock& aClock);

  // A connected control host has announced the version that is in force.
  void OnVersionAnnounced(const HostId& aSource, Revision aVersion);

  // The connection to the control host is lost.
  void OnLost(const HostId& aSource);

  // Processes a chunk. Returns the document once its transfer is complete.
  std::optional<FetchedDocument> OnChunk(const HostId& aFrom, const DocumentChunk& aChunk);

  // This version has been installed; later ones may be compressed against it.
  void OnVersionInstalled(Revision aVersion);

  // The fetched bytes could not be unpacked. Requests the full document next. A full document that
  // cannot be read is not requested again; only a later version is.
  void OnUnpackFailed(const TransferId& aTransfer);

  // Returns the request to send now. Returns nothing while an answer is still awaited or while no
  // newer version is known.
  std::optional<OutgoingDocumentRequest> Next();

  // Returns when this version or a later one was first announced to this host. Returns the current
  // time if it was not announced or is installed already, so call this before OnVersionInstalled().
  MonotonicTime AnnouncedAt(Revision aVersion) const;

private:
  struct PendingRequest
  {
    HostId source;
    MonotonicTime sentAt;
  };

  Revision LowestWantedVersion() const;
  bool IsWantedVersionAvailable() const;
  bool IsAcceptable(const DocumentChunk& aChunk) const;
  void OnProgress();
  void OnTimeout();
  void AbandonTransfer();
  std::optional<HostId> ChooseSourceOrRetry();
  std::optional<HostId> ChooseSource() const;

  const Clock& clock;
  Revision installed;
  // Request full documents: a version compressed against the installed one could not be unpacked.
  bool wantsFullDocument = false;
  // A version whose full document could not be read; zero for none.
  Revision unreadable;
  // Connected control hosts and the version that each announced last.
  std::map<HostId, Revision> sources;
  // The first control host that announced the newest version, later the one that answered last.
  HostId preferred;
  Revision newest;
  // When versions that are not installed were first announced.
  std::map<Revision, MonotonicTime> announcedAt;
  // Empty until the first chunk has arrived.
  TransferId transfer;
  std::string received;
  std::optional<PendingRequest> pending;
  // Control hosts that did not answer the request for the next chunk in time.
  std::set<HostId> timedOut;
  Duration timeout;
  std::uint64_t chunkBytes;
};

} // namespace damasklink
