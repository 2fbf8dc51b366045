// How an entry host comes to the configuration that is in force: asks control hosts for what they
// announce, reads it beside the thread that serves calls, and puts it in force.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "EntryPicture.h"
#include "damasklink/coordination/DocumentFetch.h"
#include "damasklink/state/Metrics.h"
#include "damasklink/transport/EventLoop.h"
#include "damasklink/transport/PeerNetwork.h"

namespace damasklink {

// Requires what it is made of to outlive it. Belongs to the thread of the loop.
class ConfigurationFeed
{
public:
  // aInForce is called after each configuration that was put in force.
  ConfigurationFeed(asio::io_context& aLoop,
                    const Clock& aClock,
                    const ControlDialect& aDialect,
                    EntryPicture& aPicture,
                    PeerSender& aPeers,
                    Metrics& aMetrics,
                    std::function<void()> aInForce);

  // A control host told a picture.
  void OnPicture(const HostId& aFrom, const ServingUpdate& aPicture);

  // A control host answered.
  void OnPiece(const HostId& aFrom, const DocumentChunk& aPiece);

  void OnLost(const HostId& aHost);

  // Asks another control host when one has not answered in time. To be called every 100 ms or so.
  void Step();

private:
  using TextPtr = std::shared_ptr<const std::string>;

  // What came of a transfer.
  struct Reading
  {
    TransferId transfer;
    // Who sent the last piece.
    HostId from;
    TextPtr document;
    Result<RoutesPtr> routes;
    Duration took{};
  };

  static Reading Read(const Clock& aClock,
                      const ControlDialect& aDialect,
                      const HostId& aFrom,
                      const FetchedDocument& aFetched,
                      const TextPtr& aBase);
  void StartReading(const HostId& aFrom, FetchedDocument aFetched);
  void OnRead(Reading aReading);

  asio::io_context& loop;
  const Clock& clock;
  const ControlDialect& dialect;
  EntryPicture& picture;
  PeerSender& peers;
  Metrics& metrics;
  std::function<void()> inForce;
  DocumentFetch fetch;
  // What is in force, for the next version to be unpacked against.
  TextPtr document;
  // While one is read nothing is asked for: the next one is packed against it.
  bool reading = false;
  // Calls go on while a document is read: 4,000 routes take a fifth of a second on 0.12 of a core,
  // and first answers are due in 300 ms. Ends before what its work uses.
  asio::thread_pool reader{ 1 };
};

} // namespace damasklink
