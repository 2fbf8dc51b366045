#include "damasklink/protocol/StoreApi.h"

#include "JsonFields.h"

namespace damasklink {
namespace {

using internal::Dump;
using internal::FieldReader;
using internal::Json;

auto
Invalid(std::string aProblem)
{
  return Fail(ErrorKind::InvalidArgument, std::move(aProblem), "compare the body with docs/API.md");
}

// Parses a JSON object; aRead sets the result from its fields.
template<typename T, typename Read>
Result<T>
ParseObject(std::string_view aText, Read aRead)
{
  const Json body = Json::parse(aText, nullptr, false);
  if (!body.is_object()) {
    return Invalid("the body is not a JSON object");
  }
  FieldReader fields(body);
  T parsed;
  aRead(fields, parsed);
  if (!fields.Problem().empty()) {
    return Invalid(fields.Problem());
  }
  return parsed;
}

// Reads an array of objects with aRead. Returns an empty list on the first problem.
template<typename T, typename Read>
std::vector<T>
ReadList(FieldReader& aFields, const char* aName, Read aRead)
{
  std::vector<T> list;
  for (const Json& item : aFields.Items(aName)) {
    if (!item.is_object()) {
      aFields.AddProblem(aName, "has an entry that is not an object");
      return {};
    }
    FieldReader fields(item);
    list.push_back(aRead(fields));
    if (!fields.Problem().empty()) {
      aFields.AddProblem(aName, "has an invalid entry: " + fields.Problem());
      return {};
    }
  }
  return list;
}

template<typename T, typename Make>
Json
ListJson(const std::vector<T>& aList, Make aMake)
{
  Json list = Json::array();
  for (const T& item : aList) {
    list.push_back(aMake(item));
  }
  return list;
}

Json
DigestsJson(const std::vector<Digest>& aDigests)
{
  return ListJson(aDigests, [](const Digest& aDigest) { return Json(aDigest.Value()); });
}

std::vector<Digest>
ReadDigests(FieldReader& aFields, const char* aName)
{
  std::vector<Digest> digests;
  for (const Json& item : aFields.Items(aName)) {
    if (!item.is_string()) {
      aFields.AddProblem(aName, "has an entry that is not a string");
      return {};
    }
    digests.emplace_back(item.get<std::string>());
  }
  return digests;
}

Json
ScopeJson(const BlockScope& aScope)
{
  return Json{ { "workspace", aScope.workspace.Value() },
               { "model", aScope.model.Value() },
               { "version", aScope.version.Value() },
               { "adapter", aScope.adapter.Value() } };
}

BlockScope
ReadScope(FieldReader& aFields)
{
  FieldReader fields(aFields.Object("scope"));
  BlockScope scope{ WorkspaceId(fields.Text("workspace")),
                    ModelName(fields.Text("model")),
                    WeightVersion(fields.Text("version")),
                    AdapterName(fields.Text("adapter")) };
  if (scope.workspace.Empty() || scope.model.Empty() || scope.version.Empty()) {
    aFields.AddProblem("scope", "lacks workspace, model or version");
  }
  return scope;
}

Json
HeaderJson(const BlockHeader& aHeader)
{
  return Json{ { "block", aHeader.block.Value() },
               { "scope", ScopeJson(aHeader.scope) },
               { "generation", aHeader.generation.Value() },
               { "length", aHeader.length.Value() },
               { "checksum", aHeader.checksum.Value() } };
}

BlockHeader
ReadHeader(FieldReader& aFields)
{
  BlockHeader header;
  header.block = Digest(aFields.Text("block"));
  header.scope = ReadScope(aFields);
  header.generation = Generation(aFields.Count("generation"));
  header.length = ByteCount(aFields.Count("length"));
  header.checksum = Checksum(aFields.Count("checksum"));
  return header;
}

Endpoint
ReadEndpoint(FieldReader& aFields, const char* aName)
{
  auto endpoint = ParseEndpoint(aFields.Text(aName));
  if (!endpoint) {
    aFields.AddProblem(aName, "is not an IP address with a port");
    return {};
  }
  return endpoint.value();
}

} // namespace

std::string
FormatImportOrder(const ImportOrder& aOrder)
{
  return Dump({ { "store", FormatEndpoint(aOrder.store) },
                { "valid_ns", static_cast<std::uint64_t>(aOrder.valid.count()) },
                { "blocks", ListJson(aOrder.blocks, HeaderJson) } });
}

Result<ImportOrder>
ParseImportOrder(std::string_view aBody)
{
  return ParseObject<ImportOrder>(aBody, [](FieldReader& aFields, ImportOrder& aOrder) {
    aOrder.store = ReadEndpoint(aFields, "store");
    aOrder.valid = Duration(static_cast<std::int64_t>(aFields.Count("valid_ns")));
    aOrder.blocks = ReadList<BlockHeader>(aFields, "blocks", ReadHeader);
  });
}

std::string
FormatImportReport(const ImportReport& aReport)
{
  return Dump({ { "imported", aReport.imported }, { "wrong", DigestsJson(aReport.wrong) } });
}

Result<ImportReport>
ParseImportReport(std::string_view aBody)
{
  return ParseObject<ImportReport>(aBody, [](FieldReader& aFields, ImportReport& aReport) {
    aReport.imported = aFields.Count("imported");
    aReport.wrong = ReadDigests(aFields, "wrong");
  });
}

std::string
FormatExportOrder(const ExportOrder& aOrder)
{
  const auto block = [](const ReservedBlock& aBlock) {
    return Json{ { "block", aBlock.block.Value() },
                 { "generation", aBlock.generation.Value() },
                 { "length", aBlock.length.Value() } };
  };
  return Dump({ { "store", FormatEndpoint(aOrder.store) },
                { "fencing", aOrder.fencing.Value() },
                { "scope", ScopeJson(aOrder.scope) },
                { "blocks", ListJson(aOrder.blocks, block) } });
}

Result<ExportOrder>
ParseExportOrder(std::string_view aBody)
{
  return ParseObject<ExportOrder>(aBody, [](FieldReader& aFields, ExportOrder& aOrder) {
    aOrder.store = ReadEndpoint(aFields, "store");
    aOrder.fencing = FencingNumber(aFields.Count("fencing"));
    aOrder.scope = ReadScope(aFields);
    aOrder.blocks = ReadList<ReservedBlock>(aFields, "blocks", [](FieldReader& aBlock) {
      return ReservedBlock{ Digest(aBlock.Text("block")),
                            Generation(aBlock.Count("generation")),
                            ByteCount(aBlock.Count("length")) };
    });
  });
}

std::string
FormatExported(const std::vector<ExportedBlock>& aBlocks)
{
  const auto block = [](const ExportedBlock& aBlock) {
    return Json{ { "block", aBlock.block.Value() },
                 { "generation", aBlock.generation.Value() },
                 { "length", aBlock.length.Value() },
                 { "checksum", aBlock.checksum.Value() } };
  };
  return Dump({ { "exported", ListJson(aBlocks, block) } });
}

Result<std::vector<ExportedBlock>>
ParseExported(std::string_view aBody)
{
  using Blocks = std::vector<ExportedBlock>;
  return ParseObject<Blocks>(aBody, [](FieldReader& aFields, Blocks& aBlocks) {
    aBlocks = ReadList<ExportedBlock>(aFields, "exported", [](FieldReader& aBlock) {
      return ExportedBlock{ Digest(aBlock.Text("block")),
                            Generation(aBlock.Count("generation")),
                            ByteCount(aBlock.Count("length")),
                            Checksum(aBlock.Count("checksum")) };
    });
  });
}

std::string
FormatStoreOrder(const StoreOrder& aOrder)
{
  const auto block = [](const BlockCommand& aBlock) {
    return Json{ { "block", aBlock.block.Value() }, { "generation", aBlock.generation.Value() } };
  };
  return Dump(
    { { "fencing", aOrder.fencing.Value() }, { "blocks", ListJson(aOrder.blocks, block) } });
}

Result<StoreOrder>
ParseStoreOrder(std::string_view aBody)
{
  return ParseObject<StoreOrder>(aBody, [](FieldReader& aFields, StoreOrder& aOrder) {
    aOrder.fencing = FencingNumber(aFields.Count("fencing"));
    aOrder.blocks = ReadList<BlockCommand>(aFields, "blocks", [](FieldReader& aBlock) {
      return BlockCommand{ Digest(aBlock.Text("block")), Generation(aBlock.Count("generation")) };
    });
  });
}

std::string
FormatBlockHeader(const BlockHeader& aHeader)
{
  return Dump(HeaderJson(aHeader));
}

Result<BlockHeader>
ParseBlockHeader(std::string_view aText)
{
  return ParseObject<BlockHeader>(
    aText, [](FieldReader& aFields, BlockHeader& aHeader) { aHeader = ReadHeader(aFields); });
}

std::string
FormatInventory(const std::vector<BlockHeader>& aBlocks)
{
  return Dump({ { "blocks", ListJson(aBlocks, HeaderJson) } });
}

Result<std::vector<BlockHeader>>
ParseInventory(std::string_view aBody)
{
  using Blocks = std::vector<BlockHeader>;
  return ParseObject<Blocks>(aBody, [](FieldReader& aFields, Blocks& aBlocks) {
    aBlocks = ReadList<BlockHeader>(aFields, "blocks", ReadHeader);
  });
}

std::string
FormatCacheEvent(const CacheEvent& aEvent)
{
  return Dump({ { "target", aEvent.target.Value() },
                { "incarnation", aEvent.incarnation.Value() },
                { "sequence", aEvent.sequence.Value() },
                { "added", DigestsJson(aEvent.added) },
                { "removed", DigestsJson(aEvent.removed) } });
}

Result<CacheEvent>
ParseCacheEvent(std::string_view aBody)
{
  return ParseObject<CacheEvent>(aBody, [](FieldReader& aFields, CacheEvent& aEvent) {
    aEvent.target = TargetId(aFields.Text("target"));
    aEvent.incarnation = Incarnation(aFields.Count("incarnation"));
    aEvent.sequence = Sequence(aFields.Count("sequence"));
    aEvent.added = ReadDigests(aFields, "added");
    aEvent.removed = ReadDigests(aFields, "removed");
  });
}

std::string
FormatCacheSnapshot(const CacheSnapshot& aSnapshot)
{
  return Dump({ { "target", aSnapshot.target.Value() },
                { "incarnation", aSnapshot.incarnation.Value() },
                { "sequence", aSnapshot.sequence.Value() },
                { "blocks", DigestsJson(aSnapshot.blocks) } });
}

Result<CacheSnapshot>
ParseCacheSnapshot(std::string_view aBody)
{
  return ParseObject<CacheSnapshot>(aBody, [](FieldReader& aFields, CacheSnapshot& aSnapshot) {
    aSnapshot.target = TargetId(aFields.Text("target"));
    aSnapshot.incarnation = Incarnation(aFields.Count("incarnation"));
    aSnapshot.sequence = Sequence(aFields.Count("sequence"));
    aSnapshot.blocks = ReadDigests(aFields, "blocks");
  });
}

} // namespace damasklink
