// The serving state that control hosts replicate: the configuration document, the weight version of
// each model, the requests that are refused because they crash targets, the evacuated availability
// zones, the software versions of each service that may have begun a stream, and the targets that
// have departed.
//
// A document with a higher version replaces the current one. Any other is acknowledged without
// effect, so that resending a change never fails. The weight version of a model increases in the
// same way.
//
//   std::string command = EncodeServingCommand(PutDocument{ Revision(7), text });
//   ... commit it ...
//   Result<ServingCommandResult> result = DecodeServingCommandResult(answer);
#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "damasklink/coordination/DepartedTargets.h"
#include "damasklink/coordination/EvacuationRegistry.h"
#include "damasklink/coordination/Replication.h"
#include "damasklink/coordination/RequestFingerprint.h"
#include "damasklink/state/Clock.h"

namespace damasklink {

// Installs a document if its version is higher than the current one. The proposer must have decoded
// and checked it.
struct PutDocument
{
  Revision version;
  std::string document;
};

// Sets the weight version that the engines of a model are to load, if it is higher.
struct SetWeightVersion
{
  ModelName model;
  std::uint64_t version = 0;
};

// Changes nothing. Its answer reflects all commands committed before it, for linearizable reads.
struct ReadBarrier
{};

// The workspace of a refused request and the time since which it is refused.
struct RefusedRequest
{
  WorkspaceId workspace;
  // To the millisecond.
  WallTime since;

  bool operator==(const RefusedRequest&) const = default;
};

using RefusedRequests = std::map<RequestFingerprint, RefusedRequest>;

// Stops sending the request to targets. A request that is refused already keeps its time.
struct RefuseRequest
{
  RequestFingerprint request;
  RefusedRequest facts;
};

// Allows the request to be sent to targets again.
struct ReleaseRequest
{
  RequestFingerprint request;
};

using SoftwareVersions = std::set<SoftwareVersion>;

// Sets the software versions of a service that may have begun a stream which can still be resumed.
struct SetSoftwareVersions
{
  ServiceName service;
  SoftwareVersions versions;
};

// Records departures of targets, which are acknowledged once this is committed.
struct RecordDepartures
{
  std::vector<DepartedTarget> departures;
};

using ServingCommand = std::variant<PutDocument,
                                    SetWeightVersion,
                                    ReadBarrier,
                                    RefuseRequest,
                                    ReleaseRequest,
                                    SetEvacuation,
                                    SetSoftwareVersions,
                                    RecordDepartures>;

std::string
EncodeServingCommand(const ServingCommand& aCommand);

// The answer to an applied command.
struct ServingCommandResult
{
  // The document version after the command.
  Revision version;
  // The command could be decoded.
  bool understood = false;
  // The command had no effect because a later order has already been applied.
  bool superseded = false;
};

// Returns Corrupt if the bytes are no answer.
Result<ServingCommandResult>
DecodeServingCommandResult(std::string_view aAnswer);

// Deterministic: replicas that apply the same commands have the same state. Commands that cannot be
// decoded change nothing. Not thread-safe.
class ServingStateMachine final : public ReplicatedStateMachine
{
public:
  // The maximum number of refused requests; beyond it the one refused first is evicted.
  static constexpr std::size_t kMostRefused = 256;

  std::string Apply(const ApplyContext& aContext, std::string_view aCommand) override;
  std::string Save() const override;
  Result<void> Load(std::string_view aSnapshot) override;

  // Returns zero if there is no document.
  Revision Version() const { return this->version; }
  const std::string& Document() const { return this->document; }
  const std::map<ModelName, std::uint64_t>& Weights() const { return this->weights; }

  const RefusedRequests& Refused() const { return this->refused; }

  const EvacuationRegistry& Evacuated() const { return this->evacuations; }

  // Returns the software versions by service; a service without any is not contained.
  const std::map<ServiceName, SoftwareVersions>& Software() const { return this->software; }

  const DepartedTargets& Departed() const { return this->departed; }

  // Returns a counter that increases with each change of the state, except that of departures.
  std::uint64_t Changes() const { return this->changes; }

private:
  void Refuse(const RefuseRequest& aCommand);
  void SetSoftware(const SetSoftwareVersions& aCommand);

  Revision version;
  std::string document;
  std::map<ModelName, std::uint64_t> weights;
  RefusedRequests refused;
  EvacuationRegistry evacuations;
  std::map<ServiceName, SoftwareVersions> software;
  DepartedTargets departed;
  std::uint64_t changes = 0;
};

} // namespace damasklink
