// What targets (engines, plain services, stores) announce about themselves.
#pragma once

#include <string>
#include <vector>

#include "damasklink/state/Clock.h"
#include "damasklink/state/Ids.h"
#include "damasklink/state/Settings.h"

namespace damasklink {

enum class TargetKind
{
  Engine,
  Service,
  Store,
};

// The phases of a request that an engine takes: reading the prompt (prefill), generating the answer
// (decode), or both.
enum class TargetRole
{
  Both,
  Prefill,
  Decode,
};

// A model that an engine serves, with the version of its weights and its adapters.
struct ServedModel
{
  ModelName model;
  WeightVersion version;
  std::vector<AdapterName> adapters;

  bool operator==(const ServedModel&) const = default;
};

// Returns the version of weights as a number, or 0 when it does not start with one.
std::uint64_t
WeightNumber(const WeightVersion& aVersion);

// The load that a target reported; up to one report interval old.
struct TargetLoad
{
  std::uint64_t runningRequests = 0;
  std::uint64_t queuedRequests = 0;
  // Prompt tokens that wait for prefill.
  TokenCount queuedPrefill;
  // Requests that the target can run at once; 0 when it does not report this.
  std::uint64_t slots = 0;

  bool operator==(const TargetLoad&) const = default;
};

// The rates that an engine declares; used until its actual rates have been learnt.
struct DeclaredRates
{
  double prefillTokensPerSecond = 0;
  double decodeTokensPerSecond = 0;

  bool operator==(const DeclaredRates&) const = default;
};

// The capacity that a store declares.
struct StoreDeclaration
{
  ByteCount memory;
  ByteCount disk;
  ByteCount linkBytesPerSecond;
  ByteCount bytesPerToken;

  bool operator==(const StoreDeclaration&) const = default;
};

// One announcement of a target. The records of one target are ordered by (incarnation, sequence);
// an incarnation is one start of its process.
struct TargetRecord
{
  TargetId id;
  TargetKind kind = TargetKind::Engine;
  ZoneId zone;
  Endpoint endpoint;
  Incarnation incarnation;
  Sequence sequence;
  // The target is shutting down. Once set, it stays set for the rest of the incarnation.
  bool leaving = false;
  // Whether the target refuses an order with a fencing number below the highest that it has seen.
  bool checksFencing = false;
  TargetRole role = TargetRole::Both;
  std::vector<ServedModel> models;
  ServiceName service;
  // Empty if the target does not state it.
  SoftwareVersion software;
  // How much longer the target can take only a few requests after its start, counted from this
  // announcement.
  Duration coldFor{ 0 };
  TargetLoad load;
  DeclaredRates rates;
  StoreDeclaration store;

  bool operator==(const TargetRecord&) const = default;
};

} // namespace damasklink
