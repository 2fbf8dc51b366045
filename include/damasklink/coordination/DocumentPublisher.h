// What a control host sends of the configuration document, and to whom: the sending side of
// DocumentTransfer.h.
//
//   DocumentPublisher source;
//   source.Publish(Revision(7), text);
//   std::optional<DocumentChunk> piece = source.Answer(question);
#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>

#include "damasklink/coordination/DocumentTransfer.h"

namespace damasklink {

// Keeps the newest versions and what was packed of them. Not thread-safe.
class DocumentPublisher
{
public:
  // Takes a version that is in force from now on. Lower ones than the newest change nothing, and
  // zero names none.
  void Publish(Revision aVersion, const std::string& aDocument);

  // Returns the piece that was asked for; the beginning of a transfer of the newest version where
  // that is not at hand; nothing when the asker holds the newest version.
  std::optional<DocumentChunk> Answer(const DocumentRequest& aQuestion);

private:
  struct Packed
  {
    TransferId id;
    std::string bytes;
  };

  // By the version and the one that it is packed against.
  using Versions = std::pair<Revision, Revision>;

  const Packed* Find(Revision aVersion, Revision aBase);
  void DropOldest();

  // At least the newest one.
  std::map<Revision, std::string> documents;
  std::size_t documentBytes = 0;
  std::map<Versions, Packed> packed;
};

} // namespace damasklink
