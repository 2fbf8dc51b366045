// Keeps the configuration of an entry host up to date: fetches versions that control hosts
// announce, parses them on a thread of its own, and installs them.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "EntryHostState.h"
#include "damasklink/coordination/DocumentFetcher.h"
#include "damasklink/state/Metrics.h"
#include "damasklink/transport/EventLoop.h"
#include "damasklink/transport/PeerNetwork.h"

namespace damasklink {

// Everything passed to the constructor must outlive the updater. Methods must be called on the
// thread of the event loop.
class ConfigurationUpdater
{
public:
  // aOnInstalled is called after each configuration that was installed.
  ConfigurationUpdater(asio::io_context& aLoop,
                       const Clock& aClock,
                       const ControlDialect& aDialect,
                       EntryHostState& aState,
                       PeerSender& aPeers,
                       Metrics& aMetrics,
                       std::function<void()> aOnInstalled);

  // Takes the version that a control host's update announces.
  void OnUpdate(const HostId& aFrom, const ServingUpdate& aUpdate);

  // Takes a control host's response to a request for a chunk.
  void OnChunk(const HostId& aFrom, const DocumentChunk& aChunk);

  void OnDisconnected(const HostId& aHost);

  // Sends the next request, if one is due; asks another control host when one has not answered in
  // time. To be called about every 100 ms.
  void Step();

private:
  using TextPtr = std::shared_ptr<const std::string>;

  // The result of unpacking and parsing a fetched document.
  struct ReadResult
  {
    TransferId transfer;
    // The host that sent the last chunk.
    HostId from;
    TextPtr document;
    Result<RoutesPtr> routes;
    Duration took{};
  };

  static ReadResult Read(const Clock& aClock,
                         const ControlDialect& aDialect,
                         const HostId& aFrom,
                         const FetchedDocument& aFetched,
                         const TextPtr& aBase);
  void StartDocumentRead(const HostId& aFrom, FetchedDocument aFetched);
  void OnDocumentRead(ReadResult aResult);

  asio::io_context& loop;
  const Clock& clock;
  const ControlDialect& dialect;
  EntryHostState& state;
  PeerSender& peers;
  Metrics& metrics;
  std::function<void()> onInstalled;
  DocumentFetcher fetch;
  // The installed document: the next version may be packed as a delta against it.
  TextPtr document;
  // While a document is read none is requested, since the next one is packed against it.
  bool reading = false;
  // Reads documents, so that calls are not held up: 4,000 routes take 200 ms on 0.12 of a core, and
  // first responses are due in 300 ms. Declared last, so that it ends before what its work uses.
  asio::thread_pool reader{ 1 };
};

} // namespace damasklink
