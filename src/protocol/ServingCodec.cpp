#include "damasklink/protocol/ServingCodec.h"

#include <algorithm>
#include <map>
#include <utility>

#include <Serving_generated.h>

#include "FlatBytes.h"
#include "damasklink/state/PackedText.h"
#include "damasklink/state/Units.h"

namespace damasklink {
namespace {

enum class FrameKind : std::uint8_t
{
  Greeting = 1,
  ServingUpdate = 2,
  LoadReport = 3,
  EntryHostList = 4,
  DocumentRequest = 5,
  DocumentChunk = 6,
  // Another message, compressed.
  Compressed = 7,
  ForwardingHostsRequest = 8,
  ForwardingHosts = 9,
  StreamOriginRequest = 10,
  StreamOriginResponse = 11,
};

// The highest age of a version of weights that is read. Such a version is old in any case.
constexpr std::uint64_t kMaxAgeMilliseconds = 100'000'000;

// Messages smaller than this are not compressed, because they fit into a few packets anyway.
constexpr std::size_t kMinCompressedBytes = 4 * kKibibyte;

// The maximum size that a compressed message may expand to. The largest legitimate one is far
// smaller: an update with 12,000 targets has two megabytes.
constexpr std::size_t kMaxDecompressedBytes = 64 * kMebibyte;

template<typename Id>
std::vector<std::string>
TextsOf(const std::vector<Id>& aIds)
{
  std::vector<std::string> texts;
  texts.reserve(aIds.size());
  for (const Id& id : aIds) {
    texts.push_back(id.Value());
  }
  return texts;
}

template<typename Id>
std::vector<Id>
IdsOf(const std::vector<std::string>& aTexts)
{
  std::vector<Id> ids;
  ids.reserve(aTexts.size());
  for (const std::string& text : aTexts) {
    ids.emplace_back(text);
  }
  return ids;
}

// Rounds up, so that no target counts as warm too early.
std::uint32_t
MillisecondsOf(Duration aTime)
{
  return static_cast<std::uint32_t>(
    std::chrono::ceil<std::chrono::milliseconds>(std::max(aTime, Duration::zero())).count());
}

std::unique_ptr<wire::TargetRowT>
RowOf(const TargetUpdate& aUpdate)
{
  const TargetRecord& record = aUpdate.record;
  auto row = std::make_unique<wire::TargetRowT>();
  row->id = record.id.Value();
  row->service = record.service.Value();
  row->address = record.endpoint.address;
  row->port = record.endpoint.port;
  row->zone = record.zone.Value();
  row->software = record.software.Value();
  row->sequence = record.sequence.Value();
  row->incarnation = record.incarnation.Value();
  row->slots = static_cast<std::uint32_t>(record.load.slots);
  row->standing = static_cast<std::uint8_t>(aUpdate.standing);
  row->paused = aUpdate.paused;
  row->cold_ms = MillisecondsOf(record.coldFor);
  for (const ServedModel& served : record.models) {
    auto model = std::make_unique<wire::ServedModelRowT>();
    model->model = served.model.Value();
    model->version = WeightNumber(served.version);
    row->models.push_back(std::move(model));
  }
  return row;
}

bool
ReadRow(const wire::TargetRowT& aRow, TargetUpdate& aTo)
{
  const bool known = aRow.standing >= static_cast<std::uint8_t>(TargetAvailability::Usable) &&
                     aRow.standing <= static_cast<std::uint8_t>(TargetAvailability::Leaving);
  if (!known) {
    return false;
  }
  TargetRecord& record = aTo.record;
  record.id = TargetId(aRow.id);
  record.service = ServiceName(aRow.service);
  record.endpoint = Endpoint{ aRow.address, aRow.port };
  record.zone = ZoneId(aRow.zone);
  record.software = SoftwareVersion(aRow.software);
  record.sequence = Sequence(aRow.sequence);
  record.incarnation = Incarnation(aRow.incarnation);
  record.load.slots = aRow.slots;
  record.coldFor = std::chrono::milliseconds(aRow.cold_ms);
  record.kind = aRow.models.empty() ? TargetKind::Service : TargetKind::Engine;
  for (const auto& model : aRow.models) {
    const WeightVersion version(std::to_string(model->version));
    record.models.push_back(ServedModel{ ModelName(model->model), version, {} });
  }
  aTo.standing = static_cast<TargetAvailability>(aRow.standing);
  record.leaving = aTo.standing == TargetAvailability::Leaving;
  aTo.paused = aRow.paused;
  return true;
}

std::vector<wire::PartEntry>
EntriesOf(const std::vector<SizedPart>& aParts)
{
  std::vector<wire::PartEntry> entries;
  entries.reserve(aParts.size());
  for (const SizedPart& part : aParts) {
    entries.emplace_back(part.key.Value(), static_cast<std::uint32_t>(part.tokens.Value()));
  }
  return entries;
}

std::vector<SizedPart>
PartsOf(const std::vector<wire::PartEntry>& aEntries)
{
  std::vector<SizedPart> parts;
  parts.reserve(aEntries.size());
  for (const wire::PartEntry& entry : aEntries) {
    parts.push_back(SizedPart{ PartKey(entry.key()), TokenCount(entry.tokens()) });
  }
  return parts;
}

std::unique_ptr<wire::StoreRowT>
RowOf(const StoreUpdate& aUpdate)
{
  auto row = std::make_unique<wire::StoreRowT>();
  row->address = aUpdate.store.address;
  row->port = aUpdate.store.port;
  row->live = aUpdate.live;
  row->whole = aUpdate.whole;
  row->reserved = aUpdate.reserved.Value();
  row->added = EntriesOf(aUpdate.added);
  for (const PartKey key : aUpdate.removed) {
    row->removed.push_back(key.Value());
  }
  return row;
}

StoreUpdate
ReadRow(const wire::StoreRowT& aRow)
{
  StoreUpdate update;
  update.store = Endpoint{ aRow.address, aRow.port };
  update.live = aRow.live;
  update.whole = aRow.whole;
  update.reserved = TokenCount(aRow.reserved);
  update.added = PartsOf(aRow.added);
  for (const std::uint64_t key : aRow.removed) {
    update.removed.emplace_back(key);
  }
  return update;
}

std::unique_ptr<wire::NamedWeightsRowT>
RowOf(const AnnouncedWeights& aAnnounced)
{
  auto row = std::make_unique<wire::NamedWeightsRowT>();
  row->model = aAnnounced.model.Value();
  row->version = aAnnounced.version;
  row->age_unknown = !aAnnounced.age;
  const Duration age = std::max(aAnnounced.age.value_or(Duration::zero()), Duration::zero());
  row->age_ms = static_cast<std::uint64_t>(WholeMilliseconds(age));
  return row;
}

// A host of a program version that states no age sends a version once it is named.
AnnouncedWeights
ReadRow(const wire::NamedWeightsRowT& aRow)
{
  AnnouncedWeights announced{ ModelName(aRow.model), aRow.version, std::nullopt };
  if (!aRow.age_unknown) {
    // Bounded, as the sum with a time must not overflow.
    announced.age = std::chrono::milliseconds(std::min(aRow.age_ms, kMaxAgeMilliseconds));
  }
  return announced;
}

std::unique_ptr<wire::CrashRowT>
RowOf(const CrashReport& aReport)
{
  auto row = std::make_unique<wire::CrashRowT>();
  row->request = aReport.request.Value();
  row->workspace = aReport.workspace.Value();
  row->service = aReport.service.Value();
  row->target = aReport.target.Value();
  row->incarnation = aReport.incarnation.Value();
  for (const RequestFingerprint part : aReport.parts) {
    row->parts.push_back(part.Value());
  }
  row->sent_ms = MillisecondsOf(aReport.sentAgo);
  row->broken_ms = MillisecondsOf(aReport.brokenAgo);
  row->silent = aReport.silent;
  row->heard_ms = MillisecondsOf(aReport.heardAgo);
  return row;
}

std::unique_ptr<wire::SoundRowT>
RowOf(const SuccessfulRun& aRun)
{
  auto row = std::make_unique<wire::SoundRowT>();
  row->request = aRun.request.Value();
  row->service = aRun.service.Value();
  return row;
}

std::unique_ptr<wire::LimitReportRowT>
RowOf(const LimitReport& aReport)
{
  auto row = std::make_unique<wire::LimitReportRowT>();
  row->target = aReport.target.Value();
  row->incarnation = aReport.incarnation.Value();
  row->lifted = !aReport.limit;
  row->per_second = aReport.limit.value_or(RequestRate()).perSecond;
  return row;
}

std::unique_ptr<wire::BrittleRowT>
RowOf(const BrittleService& aBrittle)
{
  auto row = std::make_unique<wire::BrittleRowT>();
  row->service = aBrittle.service.Value();
  row->tolerated = aBrittle.tolerated.perSecond;
  row->run_ms = MillisecondsOf(aBrittle.runTime);
  return row;
}

std::unique_ptr<wire::LimitRowT>
RowOf(const TargetLimit& aLimit)
{
  auto row = std::make_unique<wire::LimitRowT>();
  row->target = aLimit.target.Value();
  row->incarnation = aLimit.incarnation.Value();
  row->per_second = aLimit.limit.value_or(RequestRate()).perSecond;
  row->unnamed = !aLimit.limit.has_value();
  row->cold_ms = MillisecondsOf(aLimit.coldFor);
  row->share = aLimit.share.perSecond;
  for (const HostId& host : aLimit.hosts) {
    row->hosts.push_back(host.Value());
  }
  return row;
}

// Streams that the same software version began share a row.
std::vector<std::unique_ptr<wire::OriginRowT>>
RowsOf(const std::vector<StreamOrigin>& aOrigins)
{
  std::map<std::pair<ServiceName, SoftwareVersion>, wire::OriginRowT*> byVersion;
  std::vector<std::unique_ptr<wire::OriginRowT>> rows;
  for (const StreamOrigin& origin : aOrigins) {
    wire::OriginRowT*& row = byVersion[{ origin.service, origin.software }];
    if (row == nullptr) {
      row = rows.emplace_back(std::make_unique<wire::OriginRowT>()).get();
      row->service = origin.service.Value();
      row->software = origin.software.Value();
    }
    row->streams.emplace_back(origin.stream.Value(), MillisecondsOf(origin.keepFor));
  }
  return rows;
}

template<typename Fingerprints>
std::vector<std::uint64_t>
NumbersOf(const Fingerprints& aFingerprints)
{
  std::vector<std::uint64_t> numbers;
  numbers.reserve(aFingerprints.size());
  for (const RequestFingerprint fingerprint : aFingerprints) {
    numbers.push_back(fingerprint.Value());
  }
  return numbers;
}

std::set<RequestFingerprint>
FingerprintsOf(const std::vector<std::uint64_t>& aNumbers)
{
  std::set<RequestFingerprint> fingerprints;
  for (const std::uint64_t number : aNumbers) {
    fingerprints.insert(RequestFingerprint(number));
  }
  return fingerprints;
}

wire::DocumentTransferId
IdOf(const TransferId& aTransfer)
{
  return wire::DocumentTransferId(
    aTransfer.version.Value(), aTransfer.base.Value(), aTransfer.bytes, aTransfer.checksum);
}

// Returns an empty id if the field is missing.
TransferId
ReadId(const wire::DocumentTransferId* aId)
{
  if (aId == nullptr) {
    return TransferId();
  }
  return TransferId{
    Revision(aId->version()), Revision(aId->base()), aId->bytes(), aId->checksum()
  };
}

// Writes the fields of a message to the frame.
struct FrameFiller
{
  wire::ServingFrameT& frame;

  void operator()(const Greeting& aGreeting)
  {
    this->frame.kind = static_cast<std::uint8_t>(FrameKind::Greeting);
    this->frame.role = static_cast<std::uint8_t>(aGreeting.role);
    this->frame.zone = aGreeting.zone.Value();
    this->FillControlHosts(aGreeting.controlHosts);
  }

  void operator()(const ServingUpdate& aUpdate)
  {
    this->frame.kind = static_cast<std::uint8_t>(FrameKind::ServingUpdate);
    this->frame.document_version = aUpdate.documentVersion.Value();
    for (const AnnouncedWeights& announced : aUpdate.weights) {
      this->frame.weights.push_back(RowOf(announced));
    }
    for (const TargetUpdate& update : aUpdate.targets) {
      this->frame.targets.push_back(RowOf(update));
    }
    for (const StoreUpdate& update : aUpdate.stores) {
      this->frame.stores.push_back(RowOf(update));
    }
    this->frame.entry_hosts = static_cast<std::uint32_t>(aUpdate.entryHosts);
    this->frame.isolated = aUpdate.isolated;
    this->frame.tells_crashing = aUpdate.crashing.has_value();
    if (aUpdate.crashing) {
      this->frame.refused_requests = NumbersOf(aUpdate.crashing->refused);
      this->frame.suspected_requests = NumbersOf(aUpdate.crashing->suspected);
    }
    this->frame.tells_evacuated = aUpdate.evacuated.has_value();
    if (aUpdate.evacuated) {
      this->frame.evacuation_revision = aUpdate.evacuated->revision;
      for (const ZoneId& zone : aUpdate.evacuated->zones) {
        this->frame.evacuated_zones.push_back(zone.Value());
      }
    }
    for (const auto& [service, count] : aUpdate.subsets) {
      this->frame.subset_services.push_back(service.Value());
      this->frame.subset_counts.push_back(count);
    }
    this->FillControlHosts(aUpdate.controlHosts);
  }

  void operator()(const LoadReport& aReport)
  {
    this->frame.kind = static_cast<std::uint8_t>(FrameKind::LoadReport);
    this->frame.host = aReport.host.Value();
    this->frame.last = aReport.last;
    this->frame.urgent = aReport.urgent;
    for (const InFlightLoad& load : aReport.sends) {
      auto row = std::make_unique<wire::SendsRowT>();
      row->target = load.target.Value();
      row->requests = static_cast<std::uint32_t>(load.requests);
      row->unread = static_cast<std::uint32_t>(load.unread.Value());
      row->memory = static_cast<std::uint32_t>(load.memory.Value());
      row->parts = EntriesOf(load.parts);
      this->frame.sends.push_back(std::move(row));
    }
    for (const StoreFetchDelay& delay : aReport.excesses) {
      auto row = std::make_unique<wire::ExcessRowT>();
      row->store = delay.store;
      row->count = static_cast<std::uint32_t>(delay.count);
      row->total = delay.total;
      this->frame.excesses.push_back(std::move(row));
    }
    for (const TargetReachabilityReport& reachability : aReport.findings) {
      auto row = std::make_unique<wire::FindingsRowT>();
      row->target = reachability.target.Value();
      row->gone = static_cast<std::uint32_t>(reachability.gone);
      row->back = static_cast<std::uint32_t>(reachability.back);
      this->frame.findings.push_back(std::move(row));
    }
    for (const CrashReport& crash : aReport.crashes) {
      this->frame.crashes.push_back(RowOf(crash));
    }
    for (const SuccessfulRun& run : aReport.sound) {
      this->frame.sound.push_back(RowOf(run));
    }
    for (const LimitReport& report : aReport.limitReports) {
      this->frame.limit_reports.push_back(RowOf(report));
    }
    for (const BrittleService& brittle : aReport.brittle) {
      this->frame.brittle.push_back(RowOf(brittle));
    }
    this->frame.origins = RowsOf(aReport.origins);
    this->frame.tells_limits = aReport.limits.has_value();
    for (const TargetLimit& limit : aReport.limits.value_or(std::vector<TargetLimit>())) {
      this->frame.limits.push_back(RowOf(limit));
    }
  }

  void operator()(const EntryHostList& aList)
  {
    this->frame.kind = static_cast<std::uint8_t>(FrameKind::EntryHostList);
    this->frame.entry_host_names = TextsOf(aList.hosts);
    this->frame.entry_host_zones = TextsOf(aList.zones);
    this->frame.cut_off_hosts = TextsOf(aList.cutOff);
  }

  void operator()(const ForwardingHostsRequest& aRequest)
  {
    this->frame.kind = static_cast<std::uint8_t>(FrameKind::ForwardingHostsRequest);
    this->frame.cut_off = aRequest.cutOff;
  }

  void operator()(const ForwardingHosts& aHosts)
  {
    this->frame.kind = static_cast<std::uint8_t>(FrameKind::ForwardingHosts);
    for (const auto& [host, zone] : aHosts.hosts) {
      this->frame.entry_host_names.push_back(host.Value());
      this->frame.entry_host_zones.push_back(zone.Value());
    }
  }

  void operator()(const StreamOriginRequest& aRequest)
  {
    this->frame.kind = static_cast<std::uint8_t>(FrameKind::StreamOriginRequest);
    this->frame.lookup = aRequest.number.Value();
    this->frame.names_stream = aRequest.stream.has_value();
    this->frame.stream = aRequest.stream.value_or(StreamKey()).Value();
    this->frame.service = aRequest.service.Value();
  }

  void operator()(const StreamOriginResponse& aResponse)
  {
    this->frame.kind = static_cast<std::uint8_t>(FrameKind::StreamOriginResponse);
    this->frame.lookup = aResponse.number.Value();
    if (aResponse.origin) {
      this->frame.origins = RowsOf({ *aResponse.origin });
    }
    for (const SoftwareVersion& version : aResponse.versions) {
      this->frame.software_versions.push_back(version.Value());
    }
    this->frame.versions_complete = aResponse.complete;
  }

  void operator()(const DocumentRequest& aRequest)
  {
    this->frame.kind = static_cast<std::uint8_t>(FrameKind::DocumentRequest);
    this->frame.held = aRequest.held.Value();
    this->frame.transfer = std::make_unique<wire::DocumentTransferId>(IdOf(aRequest.transfer));
    this->frame.offset = aRequest.offset;
    this->frame.most_bytes = aRequest.mostBytes;
  }

  void operator()(const DocumentChunk& aChunk)
  {
    this->frame.kind = static_cast<std::uint8_t>(FrameKind::DocumentChunk);
    this->frame.transfer = std::make_unique<wire::DocumentTransferId>(IdOf(aChunk.transfer));
    this->frame.offset = aChunk.offset;
    this->frame.piece.assign(aChunk.bytes.begin(), aChunk.bytes.end());
  }

  void FillControlHosts(const ControlHostZones& aHosts)
  {
    for (const auto& [host, zone] : aHosts) {
      this->frame.control_hosts.push_back(host.Value());
      this->frame.control_zones.push_back(zone.Value());
    }
  }
};

ForwardingHosts
ReadForwardingHosts(const wire::ServingFrameT& aFrame)
{
  ForwardingHosts hosts;
  for (std::size_t index = 0; index < aFrame.entry_host_names.size(); ++index) {
    const bool known = index < aFrame.entry_host_zones.size();
    hosts.hosts[HostId(aFrame.entry_host_names[index])] =
      known ? ZoneId(aFrame.entry_host_zones[index]) : ZoneId();
  }
  return hosts;
}

ControlHostZones
ReadControlHosts(const wire::ServingFrameT& aFrame)
{
  ControlHostZones hosts;
  for (std::size_t index = 0; index < aFrame.control_hosts.size(); ++index) {
    const bool known = index < aFrame.control_zones.size();
    hosts[HostId(aFrame.control_hosts[index])] =
      known ? ZoneId(aFrame.control_zones[index]) : ZoneId();
  }
  return hosts;
}

Result<ServingMessage>
ReadGreeting(const wire::ServingFrameT& aFrame)
{
  const bool known = aFrame.role == static_cast<std::uint8_t>(HostRole::Entry) ||
                     aFrame.role == static_cast<std::uint8_t>(HostRole::Control);
  if (!known) {
    return Fail(internal::UnreadableMessage());
  }
  return ServingMessage(
    Greeting{ static_cast<HostRole>(aFrame.role), ZoneId(aFrame.zone), ReadControlHosts(aFrame) });
}

// Returns whether the subsets are valid.
bool
ReadSubsets(const wire::ServingFrameT& aFrame, SubsetCounts& aTo)
{
  if (aFrame.subset_services.size() != aFrame.subset_counts.size()) {
    return false;
  }
  for (std::size_t index = 0; index < aFrame.subset_services.size(); ++index) {
    aTo[ServiceName(aFrame.subset_services[index])] = aFrame.subset_counts[index];
  }
  return std::all_of(aFrame.subset_counts.begin(), aFrame.subset_counts.end(), IsSubsetCount);
}

Result<ServingMessage>
ReadServingUpdate(const wire::ServingFrameT& aFrame)
{
  ServingUpdate update;
  update.documentVersion = Revision(aFrame.document_version);
  for (const auto& row : aFrame.weights) {
    update.weights.push_back(ReadRow(*row));
  }
  for (const auto& row : aFrame.targets) {
    if (!ReadRow(*row, update.targets.emplace_back())) {
      return Fail(internal::UnreadableMessage());
    }
  }
  for (const auto& row : aFrame.stores) {
    update.stores.push_back(ReadRow(*row));
  }
  update.entryHosts = aFrame.entry_hosts;
  update.isolated = aFrame.isolated;
  if (aFrame.tells_crashing) {
    update.crashing = CrashingRequests{ FingerprintsOf(aFrame.refused_requests),
                                        FingerprintsOf(aFrame.suspected_requests) };
  }
  if (aFrame.tells_evacuated) {
    EvacuatedZones& evacuated = update.evacuated.emplace();
    evacuated.revision = aFrame.evacuation_revision;
    for (const std::string& zone : aFrame.evacuated_zones) {
      evacuated.zones.insert(ZoneId(zone));
    }
  }
  if (!ReadSubsets(aFrame, update.subsets)) {
    return Fail(internal::UnreadableMessage());
  }
  update.controlHosts = ReadControlHosts(aFrame);
  return ServingMessage(std::move(update));
}

std::string
TextOf(const flatbuffers::String* aText)
{
  return aText == nullptr ? std::string() : aText->str();
}

std::vector<SizedPart>
PartsOf(const flatbuffers::Vector<const wire::PartEntry*>* aEntries)
{
  std::vector<SizedPart> parts;
  if (aEntries == nullptr) {
    return parts;
  }
  parts.reserve(aEntries->size());
  for (const wire::PartEntry* entry : *aEntries) {
    parts.push_back(SizedPart{ PartKey(entry->key()), TokenCount(entry->tokens()) });
  }
  return parts;
}

CrashReport
ReadRow(const wire::CrashRow& aRow)
{
  CrashReport report{ RequestFingerprint(aRow.request()),
                      WorkspaceId(TextOf(aRow.workspace())),
                      ServiceName(TextOf(aRow.service())),
                      TargetId(TextOf(aRow.target())),
                      Incarnation(aRow.incarnation()) };
  if (aRow.parts() != nullptr) {
    for (const std::uint64_t part : *aRow.parts()) {
      report.parts.emplace_back(part);
    }
  }
  report.sentAgo = std::chrono::milliseconds(aRow.sent_ms());
  report.brokenAgo = std::chrono::milliseconds(aRow.broken_ms());
  report.silent = aRow.silent();
  report.heardAgo = std::chrono::milliseconds(aRow.heard_ms());
  return report;
}

SuccessfulRun
ReadRow(const wire::SoundRow& aRow)
{
  return SuccessfulRun{ RequestFingerprint(aRow.request()), ServiceName(TextOf(aRow.service())) };
}

LimitReport
ReadRow(const wire::LimitReportRow& aRow)
{
  LimitReport report{ TargetId(TextOf(aRow.target())),
                      Incarnation(aRow.incarnation()),
                      std::nullopt };
  if (!aRow.lifted()) {
    report.limit = RequestRate{ aRow.per_second() };
  }
  return report;
}

BrittleService
ReadRow(const wire::BrittleRow& aRow)
{
  return BrittleService{ ServiceName(TextOf(aRow.service())),
                         RequestRate{ aRow.tolerated() },
                         std::chrono::milliseconds(aRow.run_ms()) };
}

void
ReadRow(const wire::OriginRow& aRow, std::vector<StreamOrigin>& aTo)
{
  if (aRow.streams() == nullptr) {
    return;
  }
  const ServiceName service(TextOf(aRow.service()));
  const SoftwareVersion software(TextOf(aRow.software()));
  for (const wire::StreamEntry* entry : *aRow.streams()) {
    aTo.push_back(StreamOrigin{
      StreamKey(entry->stream()), service, software, std::chrono::milliseconds(entry->keep_ms()) });
  }
}

std::vector<StreamOrigin>
ReadOrigins(const wire::ServingFrame& aFrame)
{
  std::vector<StreamOrigin> origins;
  if (const auto* rows = aFrame.origins()) {
    for (const wire::OriginRow* row : *rows) {
      ReadRow(*row, origins);
    }
  }
  return origins;
}

StreamOriginRequest
ReadOriginRequest(const wire::ServingFrame& aFrame)
{
  StreamOriginRequest request;
  request.number = LookupNumber(aFrame.lookup());
  if (aFrame.names_stream()) {
    request.stream = StreamKey(aFrame.stream());
  }
  request.service = ServiceName(TextOf(aFrame.service()));
  return request;
}

StreamOriginResponse
ReadOriginResponse(const wire::ServingFrame& aFrame)
{
  StreamOriginResponse response;
  response.number = LookupNumber(aFrame.lookup());
  if (const std::vector<StreamOrigin> origins = ReadOrigins(aFrame); !origins.empty()) {
    response.origin = origins.front();
  }
  if (const auto* versions = aFrame.software_versions()) {
    for (const flatbuffers::String* version : *versions) {
      response.versions.insert(SoftwareVersion(TextOf(version)));
    }
  }
  response.complete = aFrame.versions_complete();
  return response;
}

TargetLimit
ReadRow(const wire::LimitRow& aRow)
{
  TargetLimit limit{ TargetId(TextOf(aRow.target())),
                     Incarnation(aRow.incarnation()),
                     std::nullopt,
                     RequestRate{ aRow.share() },
                     {},
                     std::chrono::milliseconds(aRow.cold_ms()) };
  if (!aRow.unnamed()) {
    limit.limit = RequestRate{ aRow.per_second() };
  }
  if (const auto* hosts = aRow.hosts()) {
    for (const flatbuffers::String* host : *hosts) {
      limit.hosts.insert(HostId(TextOf(host)));
    }
  }
  return limit;
}

template<typename Row, typename Value>
void
ReadRows(const flatbuffers::Vector<flatbuffers::Offset<Row>>* aRows, std::vector<Value>& aTo)
{
  if (aRows == nullptr) {
    return;
  }
  for (const Row* row : *aRows) {
    aTo.push_back(ReadRow(*row));
  }
}

// Reads from the buffer without unpacking the frame first: an entry host receives tens of these
// reports per second, each with a row for every target.
LoadReport
ReadLoadReport(const wire::ServingFrame& aFrame)
{
  LoadReport report;
  report.host = HostId(TextOf(aFrame.host()));
  report.last = aFrame.last();
  report.urgent = aFrame.urgent();
  if (const auto* rows = aFrame.sends()) {
    report.sends.reserve(rows->size());
    for (const wire::SendsRow* row : *rows) {
      report.sends.push_back(InFlightLoad{ TargetId(TextOf(row->target())),
                                           row->requests(),
                                           TokenCount(row->unread()),
                                           TokenCount(row->memory()),
                                           PartsOf(row->parts()) });
    }
  }
  if (const auto* rows = aFrame.excesses()) {
    for (const wire::ExcessRow* row : *rows) {
      report.excesses.push_back(
        StoreFetchDelay{ TextOf(row->store()), row->count(), row->total() });
    }
  }
  if (const auto* rows = aFrame.findings()) {
    for (const wire::FindingsRow* row : *rows) {
      report.findings.push_back(
        TargetReachabilityReport{ TargetId(TextOf(row->target())), row->gone(), row->back() });
    }
  }
  ReadRows(aFrame.crashes(), report.crashes);
  ReadRows(aFrame.sound(), report.sound);
  ReadRows(aFrame.limit_reports(), report.limitReports);
  ReadRows(aFrame.brittle(), report.brittle);
  report.origins = ReadOrigins(aFrame);
  if (aFrame.tells_limits()) {
    ReadRows(aFrame.limits(), report.limits.emplace());
  }
  return report;
}

} // namespace

namespace {

std::string
BytesOf(const wire::ServingFrameT& aFrame)
{
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(wire::ServingFrame::Pack(builder, &aFrame));
  return internal::FinishedBytes(builder);
}

Result<ServingMessage>
DecodeUncompressed(const wire::ServingFrame& aRoot)
{
  const auto kind = static_cast<FrameKind>(aRoot.kind());
  if (kind == FrameKind::LoadReport) {
    return ServingMessage(ReadLoadReport(aRoot));
  }
  if (kind == FrameKind::StreamOriginRequest) {
    return ServingMessage(ReadOriginRequest(aRoot));
  }
  if (kind == FrameKind::StreamOriginResponse) {
    return ServingMessage(ReadOriginResponse(aRoot));
  }
  wire::ServingFrameT frame;
  aRoot.UnPackTo(&frame);
  switch (kind) {
    case FrameKind::Greeting:
      return ReadGreeting(frame);
    case FrameKind::ServingUpdate:
      return ReadServingUpdate(frame);
    case FrameKind::LoadReport:
    case FrameKind::StreamOriginRequest:
    case FrameKind::StreamOriginResponse:
    case FrameKind::Compressed:
      break;
    case FrameKind::EntryHostList:
      return ServingMessage(EntryHostList{ IdsOf<HostId>(frame.entry_host_names),
                                           IdsOf<ZoneId>(frame.entry_host_zones),
                                           IdsOf<HostId>(frame.cut_off_hosts) });
    case FrameKind::ForwardingHostsRequest:
      return ServingMessage(ForwardingHostsRequest{ frame.cut_off });
    case FrameKind::ForwardingHosts:
      return ServingMessage(ReadForwardingHosts(frame));
    case FrameKind::DocumentRequest:
      return ServingMessage(DocumentRequest{
        Revision(frame.held), ReadId(frame.transfer.get()), frame.offset, frame.most_bytes });
    case FrameKind::DocumentChunk:
      return ServingMessage(DocumentChunk{ ReadId(frame.transfer.get()),
                                           frame.offset,
                                           std::string(frame.piece.begin(), frame.piece.end()) });
  }
  return Fail(internal::UnreadableMessage());
}

} // namespace

std::string
EncodeServingMessage(const ServingMessage& aMessage)
{
  wire::ServingFrameT frame;
  std::visit(FrameFiller{ frame }, aMessage);
  return BytesOf(frame);
}

std::string
EncodeCompressed(const ServingMessage& aMessage)
{
  std::string uncompressed = EncodeServingMessage(aMessage);
  if (uncompressed.size() < kMinCompressedBytes) {
    return uncompressed;
  }
  const std::string compressed = PackText(uncompressed, "");
  wire::ServingFrameT frame;
  frame.kind = static_cast<std::uint8_t>(FrameKind::Compressed);
  frame.piece.assign(compressed.begin(), compressed.end());
  return BytesOf(frame);
}

Result<ServingMessage>
DecodeServingMessage(std::string_view aBytes)
{
  const auto* root = internal::VerifiedRoot<wire::ServingFrame>(aBytes);
  if (root == nullptr) {
    return Fail(internal::UnreadableMessage());
  }
  if (static_cast<FrameKind>(root->kind()) != FrameKind::Compressed) {
    return DecodeUncompressed(*root);
  }
  if (root->piece() == nullptr) {
    return Fail(internal::UnreadableMessage());
  }
  const std::string_view compressed(reinterpret_cast<const char*>(root->piece()->data()),
                                    root->piece()->size());
  auto decompressed = UnpackText(compressed, "", kMaxDecompressedBytes);
  if (!decompressed) {
    return Fail(decompressed.error());
  }
  const auto* inner = internal::VerifiedRoot<wire::ServingFrame>(decompressed.value());
  if (inner == nullptr) {
    return Fail(internal::UnreadableMessage());
  }
  return DecodeUncompressed(*inner);
}

} // namespace damasklink
