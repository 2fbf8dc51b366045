// Which software version of its service began each stream that its caller may still resume.
//
//   StreamOriginTable origins(clock);
//   origins.Add(StreamOrigin{ StreamKeyOf(request), service, software, keepFor });
//   origins.Find(StreamKeyOf(resumed));
//   origins.TakeAdded();                 // Origins that were not passed on to others yet.
//
// Entry hosts record the streams that they begin and report them to control hosts, which keep the
// origins of all entry hosts: a caller may resume a stream at any of them, and the one that began
// it may have ended. Not thread-safe.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "damasklink/coordination/ServingMessages.h"
#include "damasklink/state/Clock.h"

namespace damasklink {

// Returns the key of the stream whose first event was brought by the request.
StreamKey
StreamKeyOf(const RequestId& aRequest);

class StreamOriginTable
{
public:
  // An entry takes about 60 bytes. When the table is full, new origins are not kept, and a caller
  // that resumes such a stream at another host is refused.
  static constexpr std::size_t kMaxOrigins = std::size_t{ 1 } << 18;

  explicit StreamOriginTable(const Clock& aClock)
    : clock(aClock)
  {
  }

  // Records the origin of a stream. The first one counts if there are several. Returns false if the
  // table is full.
  bool Add(const StreamOrigin& aOrigin);

  // Returns the origin of the stream, or nothing if it is not known.
  std::optional<StreamOrigin> Find(StreamKey aStream) const;

  // Returns the origins that were added since the last call and have not expired.
  std::vector<StreamOrigin> TakeAdded();

  // Returns all origins, for a host that has just connected.
  std::vector<StreamOrigin> All() const;

  // Makes the next TakeAdded() return all origins.
  void ResendAll();

  // Must be called periodically.
  void RemoveExpired();

  std::size_t Size() const { return this->entries.size(); }

private:
  // Service and software version of many streams.
  using Software = std::pair<ServiceName, SoftwareVersion>;

  struct Entry
  {
    const Software* software = nullptr;
    MonotonicTime expiresAt;
  };

  StreamOrigin ToOrigin(StreamKey aStream, const Entry& aEntry) const;
  bool IsExpired(const Entry& aEntry) const;

  const Clock& clock;
  // Never pruned: there are a few for each release of a service.
  std::set<Software> software;
  absl::flat_hash_map<StreamKey, Entry> entries;
  std::vector<StreamKey> added;
};

} // namespace damasklink
