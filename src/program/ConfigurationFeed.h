// How an entry host comes to the configuration that is in force: asks control hosts for what they
// announce and puts it in force.
#pragma once

#include <optional>
#include <string>

#include "EntryPicture.h"
#include "damasklink/coordination/DocumentFetch.h"
#include "damasklink/state/Metrics.h"
#include "damasklink/transport/PeerNetwork.h"

namespace damasklink {

// Requires what it is made of to outlive it. Not thread-safe.
class ConfigurationFeed
{
public:
  ConfigurationFeed(const Clock& aClock,
                    EntryPicture& aPicture,
                    PeerSender& aPeers,
                    Metrics& aMetrics)
    : clock(aClock)
    , picture(aPicture)
    , peers(aPeers)
    , metrics(aMetrics)
    , fetch(aClock)
  {
  }

  // A control host told a picture.
  void OnPicture(const HostId& aFrom, const Picture& aPicture);

  // A control host answered.
  void OnPiece(const HostId& aFrom, const DocumentPiece& aPiece);

  void OnLost(const HostId& aHost);

  // Asks another control host when one has not answered in time. To be called every 100 ms or so.
  void Step();

private:
  void Install(const HostId& aFrom, const FetchedDocument& aFetched);

  const Clock& clock;
  EntryPicture& picture;
  PeerSender& peers;
  Metrics& metrics;
  DocumentFetch fetch;
  // What is in force, for the next version to be unpacked against.
  std::string document;
};

} // namespace damasklink
