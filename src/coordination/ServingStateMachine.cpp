#include "damasklink/coordination/ServingStateMachine.h"

#include <algorithm>
#include <optional>

#include "damasklink/state/Bytes.h"

namespace damasklink {
namespace {

// Stored in log files; numbers must not be reused.
enum class CommandTag : std::uint8_t
{
  PutDocument = 1,
  SetWeightVersion = 2,
  ReadBarrier = 3,
  RefuseRequest = 4,
  ReleaseRequest = 5,
  SetEvacuation = 6,
  SetSoftwareVersions = 7,
  RecordDepartures = 8,
};

auto
Unreadable(std::string aWhat)
{
  return Fail(
    ErrorKind::Corrupt, std::move(aWhat), "run the same program version on all control hosts");
}

// The outcome of a command. Sent between hosts; all values but NotUnderstood mean that the command
// could be decoded.
enum class Outcome : std::uint8_t
{
  NotUnderstood = 0,
  Applied = 1,
  Superseded = 2,
};

void
WriteTime(ByteWriter& aWriter, WallTime aTime)
{
  const auto since = aTime.time_since_epoch();
  aWriter.Number(static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(since).count()));
}

WallTime
ReadTime(ByteReader& aReader)
{
  return WallTime(std::chrono::milliseconds(static_cast<std::int64_t>(aReader.Number())));
}

void
WriteFacts(ByteWriter& aWriter, const RefusedRequest& aFacts)
{
  aWriter.Text(aFacts.workspace.Value());
  WriteTime(aWriter, aFacts.since);
}

RefusedRequest
ReadFacts(ByteReader& aReader)
{
  const WorkspaceId workspace(aReader.Text());
  return RefusedRequest{ workspace, ReadTime(aReader) };
}

SetEvacuation
ReadEvacuation(ByteReader& aReader)
{
  SetEvacuation order;
  order.zone = ZoneId(aReader.Text());
  order.evacuated = aReader.Byte() != 0;
  order.seenChanges = aReader.Number();
  order.since = ReadTime(aReader);
  return order;
}

void
WriteVersions(ByteWriter& aWriter, const SoftwareVersions& aVersions)
{
  aWriter.Number(aVersions.size());
  for (const SoftwareVersion& version : aVersions) {
    aWriter.Text(version.Value());
  }
}

SoftwareVersions
ReadVersions(ByteReader& aReader)
{
  SoftwareVersions versions;
  const std::uint64_t count = aReader.Number();
  for (std::uint64_t index = 0; index < count && aReader.Ok(); ++index) {
    versions.insert(SoftwareVersion(aReader.Text()));
  }
  return versions;
}

void
WriteDepartures(ByteWriter& aWriter, const std::vector<DepartedTarget>& aDepartures)
{
  aWriter.Number(aDepartures.size());
  for (const DepartedTarget& departure : aDepartures) {
    aWriter.Text(departure.target.Value());
    aWriter.Number(departure.incarnation.Value());
  }
}

std::vector<DepartedTarget>
ReadDepartures(ByteReader& aReader)
{
  std::vector<DepartedTarget> departures;
  const std::uint64_t count = aReader.Number();
  for (std::uint64_t index = 0; index < count && aReader.Ok(); ++index) {
    const TargetId target(aReader.Text());
    departures.push_back(DepartedTarget{ target, Incarnation(aReader.Number()) });
  }
  return departures;
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
    case CommandTag::SetWeightVersion: {
      const ModelName model(reader.Text());
      command = SetWeightVersion{ model, reader.Number() };
      break;
    }
    case CommandTag::ReadBarrier:
      command = ReadBarrier{};
      break;
    case CommandTag::RefuseRequest: {
      const RequestFingerprint request(reader.Number());
      command = RefuseRequest{ request, ReadFacts(reader) };
      break;
    }
    case CommandTag::ReleaseRequest:
      command = ReleaseRequest{ RequestFingerprint(reader.Number()) };
      break;
    case CommandTag::SetEvacuation:
      command = ReadEvacuation(reader);
      break;
    case CommandTag::SetSoftwareVersions: {
      const ServiceName service(reader.Text());
      command = SetSoftwareVersions{ service, ReadVersions(reader) };
      break;
    }
    case CommandTag::RecordDepartures:
      command = RecordDepartures{ ReadDepartures(reader) };
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

  void operator()(const SetWeightVersion& aCommand)
  {
    this->writer.Byte(static_cast<std::uint8_t>(CommandTag::SetWeightVersion));
    this->writer.Text(aCommand.model.Value());
    this->writer.Number(aCommand.version);
  }

  void operator()(const ReadBarrier& /*aCommand*/)
  {
    this->writer.Byte(static_cast<std::uint8_t>(CommandTag::ReadBarrier));
  }

  void operator()(const RefuseRequest& aCommand)
  {
    this->writer.Byte(static_cast<std::uint8_t>(CommandTag::RefuseRequest));
    this->writer.Number(aCommand.request.Value());
    WriteFacts(this->writer, aCommand.facts);
  }

  void operator()(const ReleaseRequest& aCommand)
  {
    this->writer.Byte(static_cast<std::uint8_t>(CommandTag::ReleaseRequest));
    this->writer.Number(aCommand.request.Value());
  }

  void operator()(const SetEvacuation& aCommand)
  {
    this->writer.Byte(static_cast<std::uint8_t>(CommandTag::SetEvacuation));
    this->writer.Text(aCommand.zone.Value());
    this->writer.Byte(aCommand.evacuated ? 1 : 0);
    this->writer.Number(aCommand.seenChanges);
    WriteTime(this->writer, aCommand.since);
  }

  void operator()(const SetSoftwareVersions& aCommand)
  {
    this->writer.Byte(static_cast<std::uint8_t>(CommandTag::SetSoftwareVersions));
    this->writer.Text(aCommand.service.Value());
    WriteVersions(this->writer, aCommand.versions);
  }

  void operator()(const RecordDepartures& aCommand)
  {
    this->writer.Byte(static_cast<std::uint8_t>(CommandTag::RecordDepartures));
    WriteDepartures(this->writer, aCommand.departures);
  }
};

std::string
EncodeResult(Revision aVersion, Outcome aOutcome)
{
  ByteWriter writer;
  writer.Number(aVersion.Value());
  writer.Byte(static_cast<std::uint8_t>(aOutcome));
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

Result<ServingCommandResult>
DecodeServingCommandResult(std::string_view aAnswer)
{
  ByteReader reader(aAnswer);
  ServingCommandResult result;
  result.version = Revision(reader.Number());
  const auto outcome = static_cast<Outcome>(reader.Byte());
  result.understood = outcome != Outcome::NotUnderstood;
  result.superseded = outcome == Outcome::Superseded;
  if (!reader.Finished()) {
    return Unreadable("cannot decode the answer to a serving command");
  }
  return result;
}

std::string
ServingStateMachine::Apply(const ApplyContext& /*aContext*/, std::string_view aCommand)
{
  std::optional<ServingCommand> command = DecodeCommand(aCommand);
  if (!command) {
    return EncodeResult(this->version, Outcome::NotUnderstood);
  }
  if (auto* put = std::get_if<PutDocument>(&*command); put != nullptr) {
    if (put->version > this->version) {
      this->version = put->version;
      this->document = std::move(put->document);
      ++this->changes;
    }
  } else if (const auto* named = std::get_if<SetWeightVersion>(&*command); named != nullptr) {
    std::uint64_t& held = this->weights[named->model];
    if (named->version > held) {
      held = named->version;
      ++this->changes;
    }
  } else if (const auto* refuse = std::get_if<RefuseRequest>(&*command); refuse != nullptr) {
    this->Refuse(*refuse);
  } else if (const auto* release = std::get_if<ReleaseRequest>(&*command); release != nullptr) {
    this->changes += this->refused.erase(release->request);
  } else if (const auto* order = std::get_if<SetEvacuation>(&*command); order != nullptr) {
    const EvacuationResult result = this->evacuations.Apply(*order);
    if (result == EvacuationResult::Superseded) {
      return EncodeResult(this->version, Outcome::Superseded);
    }
    this->changes += result == EvacuationResult::Applied ? 1 : 0;
  } else if (const auto* set = std::get_if<SetSoftwareVersions>(&*command); set != nullptr) {
    this->SetSoftware(*set);
  } else if (const auto* record = std::get_if<RecordDepartures>(&*command); record != nullptr) {
    for (const DepartedTarget& departure : record->departures) {
      this->departed.Add(departure);
    }
  }
  return EncodeResult(this->version, Outcome::Applied);
}

void
ServingStateMachine::Refuse(const RefuseRequest& aCommand)
{
  if (!this->refused.try_emplace(aCommand.request, aCommand.facts).second) {
    return;
  }
  ++this->changes;
  if (this->refused.size() > kMostRefused) {
    const auto oldest = std::min_element(
      this->refused.begin(), this->refused.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second.since < aRight.second.since;
      });
    this->refused.erase(oldest);
  }
}

void
ServingStateMachine::SetSoftware(const SetSoftwareVersions& aCommand)
{
  const auto known = this->software.find(aCommand.service);
  const bool changed =
    known == this->software.end() ? !aCommand.versions.empty() : known->second != aCommand.versions;
  if (!changed) {
    return;
  }
  if (aCommand.versions.empty()) {
    this->software.erase(known);
  } else {
    this->software[aCommand.service] = aCommand.versions;
  }
  ++this->changes;
}

std::string
ServingStateMachine::Save() const
{
  ByteWriter writer;
  writer.Number(this->version.Value());
  writer.Text(this->document);
  writer.Number(this->weights.size());
  for (const auto& [model, named] : this->weights) {
    writer.Text(model.Value());
    writer.Number(named);
  }
  const std::map<ZoneId, ZoneEvacuation>& zones = this->evacuations.All();
  // Snapshots written by program versions without refused requests end here.
  const bool hasDepartures = !this->departed.IsEmpty();
  const bool hasSoftware = !this->software.empty() || hasDepartures;
  if (!this->refused.empty() || !zones.empty() || hasSoftware) {
    writer.Number(this->refused.size());
    for (const auto& [request, facts] : this->refused) {
      writer.Number(request.Value());
      WriteFacts(writer, facts);
    }
  }
  // Snapshots written by program versions without evacuations end here.
  if (!zones.empty() || hasSoftware) {
    writer.Number(zones.size());
    for (const auto& [zone, state] : zones) {
      writer.Text(zone.Value());
      writer.Byte(state.evacuated ? 1 : 0);
      writer.Number(state.changes);
      WriteTime(writer, state.since);
    }
  }
  // Snapshots written by program versions without software versions end here.
  if (hasSoftware) {
    writer.Number(this->software.size());
    for (const auto& [service, versions] : this->software) {
      writer.Text(service.Value());
      WriteVersions(writer, versions);
    }
  }
  // Snapshots written by program versions without departures end here.
  if (hasDepartures) {
    writer.Number(this->departed.Count());
    WriteDepartures(writer, this->departed.After(0));
  }
  return writer.Take();
}

Result<void>
ServingStateMachine::Load(std::string_view aSnapshot)
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
  RefusedRequests loadedRefused;
  const std::uint64_t refusedCount = reader.Left() > 0 ? reader.Number() : 0;
  for (std::uint64_t index = 0; index < refusedCount && reader.Ok(); ++index) {
    const RequestFingerprint request(reader.Number());
    loadedRefused[request] = ReadFacts(reader);
  }
  std::map<ZoneId, ZoneEvacuation> loadedZones;
  const std::uint64_t zoneCount = reader.Left() > 0 ? reader.Number() : 0;
  for (std::uint64_t index = 0; index < zoneCount && reader.Ok(); ++index) {
    ZoneEvacuation& state = loadedZones[ZoneId(reader.Text())];
    state.evacuated = reader.Byte() != 0;
    state.changes = reader.Number();
    state.since = ReadTime(reader);
  }
  std::map<ServiceName, SoftwareVersions> loadedSoftware;
  const std::uint64_t serviceCount = reader.Left() > 0 ? reader.Number() : 0;
  for (std::uint64_t index = 0; index < serviceCount && reader.Ok(); ++index) {
    const ServiceName service(reader.Text());
    loadedSoftware[service] = ReadVersions(reader);
  }
  const std::uint64_t departedCount = reader.Left() > 0 ? reader.Number() : 0;
  const std::vector<DepartedTarget> loadedDepartures =
    departedCount > 0 ? ReadDepartures(reader) : std::vector<DepartedTarget>();
  if (!reader.Finished()) {
    return Unreadable("cannot decode the serving state of a snapshot");
  }
  this->version = loadedVersion;
  this->document = std::move(loadedDocument);
  this->weights = std::move(loadedWeights);
  this->refused = std::move(loadedRefused);
  this->evacuations.Restore(std::move(loadedZones));
  this->software = std::move(loadedSoftware);
  this->departed.Restore(departedCount, loadedDepartures);
  ++this->changes;
  return Success();
}

} // namespace damasklink
