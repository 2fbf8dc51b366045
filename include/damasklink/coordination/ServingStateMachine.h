// The state that control hosts replicate for serving: one document, the named weights, the requests
// that are refused because they crash targets, and the evacuated availability zones.
//
// A document with a higher version replaces the one that is held; any other changes nothing and is
// acknowledged all the same, so that a change that is sent again is never refused. Versions of
// weights rise by model in the same way.
//
//   std::string command = EncodeServingCommand(PutDocument{ Revision(7), text });
//   ... commit it ...
//   Result<ServingCommandResult> standing = DecodeServingCommandResult(answer);
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <variant>

#include "damasklink/coordination/EvacuationRegistry.h"
#include "damasklink/coordination/Replication.h"
#include "damasklink/coordination/RequestFingerprint.h"
#include "damasklink/state/Clock.h"

namespace damasklink {

// Offers a document. Requires that it was decoded and checked.
struct PutDocument
{
  Revision version;
  std::string document;
};

// Names the weights that the engines of a model are to have.
struct SetWeightVersion
{
  ModelName model;
  std::uint64_t version = 0;
};

// Changes nothing: its answer tells what was committed before it.
struct ReadBarrier
{};

// Whose request is refused, and since when.
struct RefusedRequest
{
  WorkspaceId workspace;
  // To the millisecond.
  WallTime since;

  bool operator==(const RefusedRequest&) const = default;
};

using RefusedRequests = std::map<RequestFingerprint, RefusedRequest>;

// The request is not sent to targets any more. One that is refused already keeps its time.
struct RefuseRequest
{
  RequestFingerprint request;
  RefusedRequest facts;
};

// The request may be sent to targets again.
struct ReleaseRequest
{
  RequestFingerprint request;
};

using ServingCommand = std::
  variant<PutDocument, SetWeightVersion, ReadBarrier, RefuseRequest, ReleaseRequest, SetEvacuation>;

std::string
EncodeServingCommand(const ServingCommand& aCommand);

// What is in force once a command has been applied.
struct ServingCommandResult
{
  Revision version;
  // The command could be read.
  bool understood = false;
  // A later order has overtaken the command, which changed nothing.
  bool superseded = false;
};

Result<ServingCommandResult>
DecodeServingCommandResult(std::string_view aAnswer);

class ServingStateMachine final : public ReplicatedMachine
{
public:
  // Refused requests that are kept; the one that was refused first makes room.
  static constexpr std::size_t kMostRefused = 256;

  std::string Apply(const ApplyContext& aContext, std::string_view aCommand) override;
  std::string Save() const override;
  Result<void> Load(std::string_view aSnapshot) override;

  // Zero while there is no document.
  Revision Version() const { return this->version; }
  const std::string& Document() const { return this->document; }
  const std::map<ModelName, std::uint64_t>& Weights() const { return this->weights; }

  const RefusedRequests& Refused() const { return this->refused; }

  const EvacuationRegistry& Evacuated() const { return this->evacuations; }

  // Rises with everything that changes.
  std::uint64_t Changes() const { return this->changes; }

private:
  void Refuse(const RefuseRequest& aCommand);

  Revision version;
  std::string document;
  std::map<ModelName, std::uint64_t> weights;
  RefusedRequests refused;
  EvacuationRegistry evacuations;
  std::uint64_t changes = 0;
};

} // namespace damasklink
