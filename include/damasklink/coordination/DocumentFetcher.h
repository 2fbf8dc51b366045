// How an entry host gets the configuration document: the receiving side of DocumentTransfer.h.
//
//   DocumentFetcher fetch(clock);
//   // With every picture that a control host tells:
//   fetch.OnVersionAnnounced(controlHost, version);
//   // After each event, and on a timer:
//   if (auto ask = fetch.Next()) { Send(ask->source, ask->question); }
//   // Unpack what is returned and tell by OnVersionInstalled() or OnUnpackFailed() what came of
//   it: if (auto document = fetch.OnChunk(controlHost, piece)) { ... }
//
// One piece is under way at a time, from one control host. When it does not come, another control
// host is asked for the same piece, and whichever comes first counts: a transfer only goes forward,
// however slow the link and whoever falls silent.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "damasklink/coordination/DocumentTransfer.h"
#include "damasklink/state/Clock.h"

namespace damasklink {

struct OutgoingDocumentRequest
{
  HostId source;
  DocumentRequest question;
  // The control host that was asked before and did not answer in time.
  std::optional<HostId> silent;
};

// All bytes of a transfer.
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

  // A connected control host tells which version is in force.
  void OnVersionAnnounced(const HostId& aSource, Revision aVersion);

  // The control host is not connected any more.
  void OnLost(const HostId& aSource);

  // Takes a piece. Returns the transfer once all of it is there.
  std::optional<FetchedDocument> OnChunk(const HostId& aFrom, const DocumentChunk& aPiece);

  // The host holds this version from now on, and the next one may be packed against it.
  void OnVersionInstalled(Revision aVersion);

  // What was fetched could not be unpacked: it is asked for whole. A whole one that could not be
  // read is not asked for again; the next version is.
  void OnUnpackFailed(const TransferId& aTransfer);

  // Returns what to ask now, and of whom. Nothing while an answer may still come and while no newer
  // version is known of.
  std::optional<OutgoingDocumentRequest> Next();

  // Returns when this host first heard that the version, or a later one, is in force; now when it
  // has not, or holds it. To be asked before OnVersionInstalled().
  MonotonicTime AnnouncedAt(Revision aVersion) const;

private:
  struct Asked
  {
    HostId source;
    MonotonicTime at;
  };

  Revision LowestWantedVersion() const;
  bool IsWantedVersionAvailable() const;
  bool IsWanted(const DocumentChunk& aPiece) const;
  void OnProgress();
  void OnSilence();
  void AbandonTransfer();
  std::optional<HostId> ChooseSourceOrRetry();
  std::optional<HostId> ChooseSource() const;

  const Clock& clock;
  Revision held;
  // No later version is packed against the held one: it was refused once.
  bool wantsWhole = false;
  // Could not be read; zero for none.
  Revision unreadable;
  // Control hosts by the version that they announced last.
  std::map<HostId, Revision> sources;
  // The first one to announce the newest version, then whoever answered last.
  HostId preferred;
  Revision newest;
  // When versions that are not held were first heard of.
  std::map<Revision, MonotonicTime> announcedAt;
  // Names nothing while no piece has come.
  TransferId transfer;
  std::string received;
  std::optional<Asked> asked;
  // Asked for the next piece without an answer so far.
  std::set<HostId> silent;
  Duration patience;
  std::uint64_t chunkBytes;
};

} // namespace damasklink
