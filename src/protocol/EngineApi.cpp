#include "damasklink/protocol/EngineApi.h"

#include "JsonFields.h"
#include "damasklink/state/Text.h"

namespace damasklink {
namespace {

using internal::Dump;
using internal::FieldReader;
using internal::Json;

Error
Invalid(std::string aProblem)
{
  return Error{ ErrorKind::InvalidArgument,
                std::move(aProblem),
                "compare the body with docs/API.md" };
}

Json
UsageJson(const AnswerUsage& aUsage)
{
  return Json{ { "prompt", aUsage.prompt.Value() },
               { "completion", aUsage.completion.Value() },
               { "reused", aUsage.reused.Value() } };
}

std::string_view
KindName(TargetKind aKind)
{
  switch (aKind) {
    case TargetKind::Engine:
      return "engine";
    case TargetKind::Service:
      return "service";
    case TargetKind::Store:
      return "store";
  }
  return "engine";
}

std::string_view
RoleName(TargetRole aRole)
{
  switch (aRole) {
    case TargetRole::Both:
      return "both";
    case TargetRole::Prefill:
      return "prefill";
    case TargetRole::Decode:
      return "decode";
  }
  return "both";
}

TargetKind
ReadKind(FieldReader& aReader)
{
  const std::string text = aReader.Text("kind");
  for (const TargetKind kind : { TargetKind::Engine, TargetKind::Service, TargetKind::Store }) {
    if (text == KindName(kind)) {
      return kind;
    }
  }
  aReader.AddProblem("kind", "is not engine, service or store");
  return TargetKind::Engine;
}

TargetRole
ReadRole(FieldReader& aReader)
{
  const std::string text = aReader.Text("role");
  if (text.empty()) {
    return TargetRole::Both;
  }
  for (const TargetRole role : { TargetRole::Both, TargetRole::Prefill, TargetRole::Decode }) {
    if (text == RoleName(role)) {
      return role;
    }
  }
  aReader.AddProblem("role", "is not both, prefill or decode");
  return TargetRole::Both;
}

Json
ModelJson(const ServedModel& aModel)
{
  Json adapters = Json::array();
  for (const AdapterName& adapter : aModel.adapters) {
    adapters.push_back(adapter.Value());
  }
  return Json{ { "model", aModel.model.Value() },
               { "version", aModel.version.Value() },
               { "adapters", adapters } };
}

void
ReadModels(FieldReader& aReader, std::vector<ServedModel>& aTo)
{
  for (const Json& item : aReader.Items("models")) {
    if (!item.is_object()) {
      aReader.AddProblem("models", "has an entry that is not an object");
      return;
    }
    FieldReader fields(item);
    ServedModel& served = aTo.emplace_back();
    served.model = ModelName(fields.Text("model"));
    served.version = WeightVersion(fields.Text("version"));
    for (const Json& adapter : fields.Items("adapters")) {
      served.adapters.push_back(AdapterName(adapter.is_string() ? adapter.get<std::string>() : ""));
    }
    if (served.model.Empty() || served.version.Empty() || !fields.Problem().empty()) {
      aReader.AddProblem("models", "has an invalid entry, or one without model or version");
    }
  }
}

void
ReadLoad(FieldReader& aReader, TargetLoad& aTo)
{
  FieldReader fields(aReader.Object("load"));
  aTo.runningRequests = fields.Count("running");
  aTo.queuedRequests = fields.Count("queued");
  aTo.queuedPrefill = TokenCount(fields.Count("queued_prefill"));
  aTo.slots = fields.Count("slots");
  if (!fields.Problem().empty()) {
    aReader.AddProblem("load", "is invalid: " + fields.Problem());
  }
}

void
ReadStore(FieldReader& aReader, StoreDeclaration& aTo)
{
  FieldReader fields(aReader.Object("store"));
  aTo.memory = ByteCount(fields.Count("memory"));
  aTo.disk = ByteCount(fields.Count("disk"));
  aTo.linkBytesPerSecond = ByteCount(fields.Count("link"));
  aTo.bytesPerToken = ByteCount(fields.Count("bytes_per_token"));
  if (!fields.Problem().empty()) {
    aReader.AddProblem("store", "is invalid: " + fields.Problem());
  }
}

} // namespace

std::string
FormatEnginePrompt(const EnginePrompt& aPrompt)
{
  Json body = Json::parse(aPrompt.sampling, nullptr, false);
  if (!body.is_object()) {
    body = Json::object();
  }
  body["attempt"] = aPrompt.attempt.Value();
  body["workspace"] = aPrompt.workspace.Value();
  body["model"] = aPrompt.model.Value();
  body["version"] = aPrompt.version.Value();
  body["adapter"] = aPrompt.adapter.Value();
  body["prompt"] = aPrompt.prompt;
  body["max_tokens"] = aPrompt.maxTokens;
  body["offset"] = aPrompt.offset;
  body["delivered"] = aPrompt.delivered;
  body["stream"] = true;
  return Dump(body);
}

Result<EnginePrompt>
ParseEnginePrompt(std::string_view aBody)
{
  const Json body = Json::parse(aBody, nullptr, false);
  if (!body.is_object()) {
    return Fail(Invalid("the prompt is not a JSON object"));
  }
  FieldReader fields(body);
  EnginePrompt prompt;
  prompt.attempt = AttemptId(fields.Text("attempt"));
  prompt.workspace = WorkspaceId(fields.Text("workspace"));
  prompt.model = ModelName(fields.Text("model"));
  prompt.version = WeightVersion(fields.Text("version"));
  prompt.adapter = AdapterName(fields.Text("adapter"));
  prompt.prompt = fields.Text("prompt");
  prompt.maxTokens = fields.Count("max_tokens");
  prompt.offset = fields.Count("offset");
  prompt.delivered = fields.Text("delivered");
  if (!fields.Problem().empty()) {
    return Fail(Invalid(fields.Problem()));
  }
  return prompt;
}

std::string
FormatAnswerFrame(const AnswerFrame& aFrame)
{
  Json body{ { "attempt", aFrame.attempt.Value() },
             { "offset", aFrame.offset },
             { "tokens", aFrame.tokens },
             { "text", aFrame.text } };
  if (aFrame.end) {
    body["end"] = true;
    body["finish_reason"] = aFrame.finishReason;
    body["usage"] = UsageJson(aFrame.usage);
  }
  return Dump(body);
}

Result<AnswerFrame>
ParseAnswerFrame(std::string_view aText)
{
  const Json body = Json::parse(aText, nullptr, false);
  if (!body.is_object()) {
    return Fail(Invalid("the answer frame is not a JSON object"));
  }
  FieldReader fields(body);
  AnswerFrame frame;
  frame.attempt = AttemptId(fields.Text("attempt"));
  frame.offset = fields.Count("offset");
  frame.tokens = fields.Count("tokens");
  frame.text = fields.Text("text");
  frame.end = fields.Flag("end");
  frame.finishReason = fields.Text("finish_reason");
  FieldReader usage(fields.Object("usage"));
  frame.usage.prompt = TokenCount(usage.Count("prompt"));
  frame.usage.completion = TokenCount(usage.Count("completion"));
  frame.usage.reused = TokenCount(usage.Count("reused"));
  if (!usage.Problem().empty()) {
    fields.AddProblem("usage", "is invalid: " + usage.Problem());
  }
  if (!fields.Problem().empty()) {
    return Fail(Invalid(fields.Problem()));
  }
  return frame;
}

std::string
FormatTargetRecord(const TargetRecord& aRecord)
{
  Json models = Json::array();
  for (const ServedModel& model : aRecord.models) {
    models.push_back(ModelJson(model));
  }
  const Json load{ { "running", aRecord.load.runningRequests },
                   { "queued", aRecord.load.queuedRequests },
                   { "queued_prefill", aRecord.load.queuedPrefill.Value() },
                   { "slots", aRecord.load.slots } };
  const Json store{ { "memory", aRecord.store.memory.Value() },
                    { "disk", aRecord.store.disk.Value() },
                    { "link", aRecord.store.linkBytesPerSecond.Value() },
                    { "bytes_per_token", aRecord.store.bytesPerToken.Value() } };
  return Dump(Json{ { "id", aRecord.id.Value() },
                    { "kind", KindName(aRecord.kind) },
                    { "zone", aRecord.zone.Value() },
                    { "endpoint", FormatEndpoint(aRecord.endpoint) },
                    { "incarnation", aRecord.incarnation.Value() },
                    { "sequence", aRecord.sequence.Value() },
                    { "leaving", aRecord.leaving },
                    { "checks_fencing", aRecord.checksFencing },
                    { "role", RoleName(aRecord.role) },
                    { "models", models },
                    { "service", aRecord.service.Value() },
                    { "load", load },
                    { "prefill_rate", aRecord.rates.prefillTokensPerSecond },
                    { "decode_rate", aRecord.rates.decodeTokensPerSecond },
                    { "store", store } });
}

Result<TargetRecord>
ParseTargetRecord(std::string_view aBody)
{
  const Json body = Json::parse(aBody, nullptr, false);
  if (!body.is_object()) {
    return Fail(Invalid("the announcement is not a JSON object"));
  }
  FieldReader fields(body);
  TargetRecord record;
  record.id = TargetId(fields.Text("id"));
  record.kind = ReadKind(fields);
  record.zone = ZoneId(fields.Text("zone"));
  const auto endpoint = ParseEndpoint(fields.Text("endpoint"));
  if (endpoint) {
    record.endpoint = endpoint.value();
  } else {
    fields.AddProblem("endpoint", endpoint.error().message);
  }
  record.incarnation = Incarnation(fields.Count("incarnation"));
  record.sequence = Sequence(fields.Count("sequence"));
  record.leaving = fields.Flag("leaving");
  record.checksFencing = fields.Flag("checks_fencing");
  record.role = ReadRole(fields);
  ReadModels(fields, record.models);
  record.service = ServiceName(fields.Text("service"));
  ReadLoad(fields, record.load);
  record.rates.prefillTokensPerSecond = fields.Number("prefill_rate");
  record.rates.decodeTokensPerSecond = fields.Number("decode_rate");
  ReadStore(fields, record.store);
  if (record.id.Empty()) {
    fields.AddProblem("id", "is missing");
  }
  if (!fields.Problem().empty()) {
    return Fail(Invalid(fields.Problem()));
  }
  return record;
}

Result<void>
SseReader::Feed(std::string_view aBytes)
{
  this->buffer.erase(0, this->consumed);
  this->consumed = 0;
  this->buffer.append(aBytes);
  const std::size_t lastBreak = this->buffer.rfind('\n');
  const std::size_t unfinished =
    lastBreak == std::string::npos ? this->buffer.size() : this->buffer.size() - lastBreak;
  if (unfinished > this->maxLineBytes) {
    return Fail(ErrorKind::Corrupt,
                "a line of the event stream exceeds the size limit",
                "check that the target sends server-sent events");
  }
  return Success();
}

std::optional<std::string>
SseReader::Next()
{
  constexpr std::string_view kPrefix = "data:";
  while (true) {
    const std::size_t lineEnd = this->buffer.find('\n', this->consumed);
    if (lineEnd == std::string::npos) {
      return std::nullopt;
    }
    std::string_view line(this->buffer);
    line = line.substr(this->consumed, lineEnd - this->consumed);
    this->consumed = lineEnd + 1;
    if (!line.starts_with(kPrefix)) {
      continue;
    }
    line.remove_prefix(kPrefix.size());
    if (line.starts_with(' ')) {
      line.remove_prefix(1);
    }
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    return std::string(line);
  }
}

} // namespace damasklink
