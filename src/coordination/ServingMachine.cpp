#include "damasklink/coordination/ServingMachine.h"

#include <optional>

#include "damasklink/state/Bytes.h"

namespace damasklink {
namespace {

// These numbers stand in log files: never reuse one.
enum class CommandTag : std::uint8_t
{
  PutDocument = 1,
  NameWeights = 2,
  ReadMarker = 3,
};

auto
Unreadable(std::string aWhat)
{
  return Fail(
    ErrorKind::Corrupt, std::move(aWhat), "run the same program version on all control hosts");
}

std::optional<ServingCommand>
DecodeCommand(std::string_view aBytes)
{
  ByteReader reader(aBytes);
  ServingCommand command;
  switch (static_cast<CommandTag>(reader.Byte())) {
    case CommandTag::PutDocument: {
      const Revision version(reader.Number());
      command = PutDocument{ version, reader.Text() };
      break;
    }
    case CommandTag::NameWeights: {
      const ModelName model(reader.Text());
      command = NameWeights{ model, reader.Number() };
      break;
    }
    case CommandTag::ReadMarker:
      command = ReadMarker{};
      break;
    default:
      return std::nullopt;
  }
  return reader.Finished() ? std::optional(std::move(command)) : std::nullopt;
}

struct CommandWriter
{
  ByteWriter& writer;

  void operator()(const PutDocument& aCommand)
  {
    this->writer.Byte(static_cast<std::uint8_t>(CommandTag::PutDocument));
    this->writer.Number(aCommand.version.Value());
    this->writer.Text(aCommand.document);
  }

  void operator()(const NameWeights& aCommand)
  {
    this->writer.Byte(static_cast<std::uint8_t>(CommandTag::NameWeights));
    this->writer.Text(aCommand.model.Value());
    this->writer.Number(aCommand.version);
  }

  void operator()(const ReadMarker& /*aCommand*/)
  {
    this->writer.Byte(static_cast<std::uint8_t>(CommandTag::ReadMarker));
  }
};

std::string
EncodeStanding(Revision aVersion, bool aUnderstood)
{
  ByteWriter writer;
  writer.Number(aVersion.Value());
  writer.Byte(aUnderstood ? 1 : 0);
  return writer.Take();
}

} // namespace

std::string
EncodeServingCommand(const ServingCommand& aCommand)
{
  ByteWriter writer;
  std::visit(CommandWriter{ writer }, aCommand);
  return writer.Take();
}

Result<ServingStanding>
DecodeServingStanding(std::string_view aAnswer)
{
  ByteReader reader(aAnswer);
  ServingStanding standing;
  standing.version = Revision(reader.Number());
  standing.understood = reader.Byte() != 0;
  if (!reader.Finished()) {
    return Unreadable("the answer to a serving command cannot be read");
  }
  return standing;
}

std::string
ServingMachine::Apply(const ApplyContext& /*aContext*/, std::string_view aCommand)
{
  std::optional<ServingCommand> command = DecodeCommand(aCommand);
  if (!command) {
    return EncodeStanding(this->version, false);
  }
  if (auto* put = std::get_if<PutDocument>(&*command); put != nullptr) {
    if (put->version > this->version) {
      this->version = put->version;
      this->document = std::move(put->document);
      ++this->changes;
    }
  } else if (const auto* named = std::get_if<NameWeights>(&*command); named != nullptr) {
    std::uint64_t& held = this->weights[named->model];
    if (named->version > held) {
      held = named->version;
      ++this->changes;
    }
  }
  return EncodeStanding(this->version, true);
}

std::string
ServingMachine::Save() const
{
  ByteWriter writer;
  writer.Number(this->version.Value());
  writer.Text(this->document);
  writer.Number(this->weights.size());
  for (const auto& [model, named] : this->weights) {
    writer.Text(model.Value());
    writer.Number(named);
  }
  return writer.Take();
}

Result<void>
ServingMachine::Load(std::string_view aSnapshot)
{
  ByteReader reader(aSnapshot);
  const Revision loadedVersion(reader.Number());
  std::string loadedDocument = reader.Text();
  std::map<ModelName, std::uint64_t> loadedWeights;
  const std::uint64_t count = reader.Number();
  for (std::uint64_t index = 0; index < count && reader.Ok(); ++index) {
    const ModelName model(reader.Text());
    loadedWeights[model] = reader.Number();
  }
  if (!reader.Finished()) {
    return Unreadable("the serving part of a snapshot cannot be read");
  }
  this->version = loadedVersion;
  this->document = std::move(loadedDocument);
  this->weights = std::move(loadedWeights);
  ++this->changes;
  return Success();
}

} // namespace damasklink
