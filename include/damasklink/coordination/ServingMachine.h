// The state that control hosts replicate for serving: one document and the named weights.
//
// A document with a higher version replaces the one that is held; any other changes nothing and is
// acknowledged all the same, so that a change that is sent again is never refused. Versions of
// weights rise by model in the same way.
//
//   std::string command = EncodeServingCommand(PutDocument{ Revision(7), text });
//   ... commit it ...
//   Result<ServingStanding> standing = DecodeServingStanding(answer);
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <variant>

#include "damasklink/coordination/Replication.h"

namespace damasklink {

// Offers a document. Requires that it was decoded and checked.
struct PutDocument
{
  Revision version;
  std::string document;
};

// Names the weights that the engines of a model are to have.
struct NameWeights
{
  ModelName model;
  std::uint64_t version = 0;
};

// Changes nothing: its answer tells what was committed before it.
struct ReadMarker
{};

using ServingCommand = std::variant<PutDocument, NameWeights, ReadMarker>;

std::string
EncodeServingCommand(const ServingCommand& aCommand);

// What is in force once a command has been applied.
struct ServingStanding
{
  Revision version;
  // The command could be read.
  bool understood = false;
};

Result<ServingStanding>
DecodeServingStanding(std::string_view aAnswer);

class ServingMachine final : public ReplicatedMachine
{
public:
  std::string Apply(const ApplyContext& aContext, std::string_view aCommand) override;
  std::string Save() const override;
  Result<void> Load(std::string_view aSnapshot) override;

  // Zero while there is no document.
  Revision Version() const { return this->version; }
  const std::string& Document() const { return this->document; }
  const std::map<ModelName, std::uint64_t>& Weights() const { return this->weights; }

  // Rises with everything that changes.
  std::uint64_t Changes() const { return this->changes; }

private:
  Revision version;
  std::string document;
  std::map<ModelName, std::uint64_t> weights;
  std::uint64_t changes = 0;
};

} // namespace damasklink
