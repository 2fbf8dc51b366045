// Answers requests for the configuration document on a control host: the sending side of
// DocumentTransfer.h.
//
//   DocumentPublisher publisher;
//   publisher.Publish(Revision(7), text);
//   std::optional<DocumentChunk> chunk = publisher.Answer(request);
#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>

#include "damasklink/coordination/DocumentTransfer.h"

namespace damasklink {

// Caches the newest versions of the document and their packed forms. Not thread-safe.
class DocumentPublisher
{
public:
  // Adds the version that has come into force. Ignores versions that are not higher than the newest
  // one; zero is no version.
  void Publish(Revision aVersion, const std::string& aDocument);

  // Returns the requested chunk, or the first chunk of the newest version if the requested transfer
  // is not available, or nothing if the requester holds the newest version.
  std::optional<DocumentChunk> Answer(const DocumentRequest& aRequest);

private:
  struct Packed
  {
    TransferId id;
    std::string bytes;
  };

  // A version and the one that it is compressed against.
  using Versions = std::pair<Revision, Revision>;

  const Packed* Find(Revision aVersion, Revision aBase);
  void DropOldest();

  // The newest versions; always contains the newest one.
  std::map<Revision, std::string> documents;
  std::size_t documentBytes = 0;
  std::map<Versions, Packed> packed;
};

} // namespace damasklink
