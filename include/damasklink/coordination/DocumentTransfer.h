// Messages that transfer the configuration document from control hosts to entry hosts.
//
// Each ServingUpdate of a control host names the document version that is in force. An entry host
// that holds an older version requests the newer one from one control host, chunk by chunk, and
// names the version that it holds. The control host answers with chunks of the document, compressed
// against that version. Because the entry host pulls, no data queues up in front of it, small
// messages pass between two chunks, and a transfer can be resumed at another control host.
#pragma once

#include <cstdint>
#include <string>

#include "damasklink/state/Ids.h"
#include "damasklink/state/Units.h"

namespace damasklink {

// The maximum document size, in bytes: four times the limit of what operators may upload.
constexpr std::uint64_t kMostDocumentBytes = 64 * kMebibyte;

// The maximum chunk size, in bytes, whatever the request asks for: 52 ms on a link of 10 Mbit/s.
constexpr std::uint64_t kMostChunkBytes = 64 * kKibibyte;

// Identifies the packed bytes of a document, with the same id on all control hosts that have them.
struct TransferId
{
  // Zero: no transfer.
  Revision version;
  // The version that the document is compressed against; zero for a full document.
  Revision base;
  // The size of the packed bytes, and their CRC-32C.
  std::uint64_t bytes = 0;
  std::uint32_t checksum = 0;

  bool operator==(const TransferId&) const = default;
};

// A request of an entry host for the next chunk.
struct DocumentRequest
{
  // The document version that the entry host holds; zero to request the full document.
  Revision held;
  // The transfer to resume; empty to request the newest version.
  TransferId transfer;
  // The number of bytes received so far.
  std::uint64_t offset = 0;
  std::uint64_t mostBytes = 0;

  bool operator==(const DocumentRequest&) const = default;
};

// The answer of a control host: the requested chunk or, if it does not have that transfer, the
// first chunk of its newest version.
struct DocumentChunk
{
  TransferId transfer;
  std::uint64_t offset = 0;
  std::string bytes;

  bool operator==(const DocumentChunk&) const = default;
};

} // namespace damasklink
