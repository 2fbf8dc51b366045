// What targets (engines, plain services, stores) say of themselves.
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

// Which phase of a prompt an engine takes.
enum class TargetRole
{
  Both,
  Prefill,
  Decode,
};

// One model as an engine serves it now.
struct ServedModel
{
  ModelName model;
  WeightVersion version;
  std::vector<AdapterName> adapters;

  bool operator==(const ServedModel&) const = default;
};

// Returns a version of weights that is written as a number, 0 for any other.
std::uint64_t
WeightNumber(const WeightVersion& aVersion);

// Load as the target reported it; it lags behind by up to a report interval.
struct TargetLoad
{
  std::uint64_t runningRequests = 0;
  std::uint64_t queuedRequests = 0;
  TokenCount queuedPrefill;
  // Requests the target says it can run at once; 0 when it does not say.
  std::uint64_t slots = 0;

  bool operator==(const TargetLoad&) const = default;
};

// What an engine declares before its rates have been learnt.
struct DeclaredRates
{
  double prefillTokensPerSecond = 0;
  double decodeTokensPerSecond = 0;

  bool operator==(const DeclaredRates&) const = default;
};

// What a store host declares.
struct StoreDeclaration
{
  ByteCount memory;
  ByteCount disk;
  ByteCount linkBytesPerSecond;
  ByteCount bytesPerToken;

  bool operator==(const StoreDeclaration&) const = default;
};

// One announcement. Records of one target are ordered by (incarnation, sequence).
struct TargetRecord
{
  TargetId id;
  TargetKind kind = TargetKind::Engine;
  ZoneId zone;
  Endpoint endpoint;
  Incarnation incarnation;
  Sequence sequence;
  // Sticks for the rest of the incarnation.
  bool leaving = false;
  // Whether the target refuses an order that carries an old fencing number.
  bool checksFencing = false;
  TargetRole role = TargetRole::Both;
  std::vector<ServedModel> models;
  ServiceName service;
  // How much longer it bears a few requests only, as of this announcement.
  Duration coldFor{ 0 };
  TargetLoad load;
  DeclaredRates rates;
  StoreDeclaration store;

  bool operator==(const TargetRecord&) const = default;
};

} // namespace damasklink
