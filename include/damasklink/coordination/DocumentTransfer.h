// How the configuration document gets to an entry host: the words of both sides.
//
// Control hosts tell the version that is in force with every picture. An entry host that holds an
// older one asks one control host for the newer one, a piece at a time, naming the version it
// holds; the control host answers with pieces of the document packed against that version. Since an
// entry host asks, nothing piles up on the way to it, small messages pass between two pieces, and a
// transfer goes on at another control host where it stopped.
#pragma once

#include <cstdint>
#include <string>

#include "damasklink/state/Ids.h"
#include "damasklink/state/Units.h"

namespace damasklink {

// No document is longer; four times what control hosts take from operators.
constexpr std::uint64_t kMostDocumentBytes = 64 * kMebibyte;

// No piece is longer, whatever is asked for: 52 ms of a link of 10 Mbit/s.
constexpr std::uint64_t kMostChunkBytes = 64 * kKibibyte;

// Names the bytes that a document is sent as. The same on all control hosts that can send them.
struct TransferId
{
  // Zero names nothing.
  Revision version;
  // The version that the bytes are packed against; zero when they hold the whole document.
  Revision base;
  std::uint64_t bytes = 0;
  std::uint32_t checksum = 0;

  bool operator==(const TransferId&) const = default;
};

// An entry host asks for the next piece.
struct DocumentRequest
{
  // Zero when it holds none, or none that could be built upon.
  Revision held;
  // What it has begun to receive; names nothing when it asks for the newest version.
  TransferId transfer;
  std::uint64_t offset = 0;
  std::uint64_t mostBytes = 0;

  bool operator==(const DocumentRequest&) const = default;
};

// A control host answers, with what was asked for or, when it does not have that, with the
// beginning of what it has.
struct DocumentChunk
{
  TransferId transfer;
  std::uint64_t offset = 0;
  std::string bytes;

  bool operator==(const DocumentChunk&) const = default;
};

} // namespace damasklink
